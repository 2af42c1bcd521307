package standin

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
)

// MaxResultBytes bounds the size of the answer that a payload may ask for.
const MaxResultBytes = 64 << 20

// Payload is a task's payload as an Endpoint decodes it from JSON. A payload that
// is not such JSON runs for 0 ms and gets the default answer.
type Payload struct {
	RunMS       int    `json:"runMs,omitempty"`
	ResultBytes int    `json:"resultBytes,omitempty"` // 0 means the echo and one digest
	Fail        bool   `json:"fail,omitempty"`
	Echo        string `json:"echo,omitempty"` // the answer starts with it
}

// Encode returns the payload's bytes.
func (p Payload) Encode() []byte {
	b, _ := json.Marshal(p) // no field of a Payload can fail
	return b
}

// parsePayload decodes a payload. Bytes that cannot be a JSON object are not
// passed to the decoder.
func parsePayload(b []byte) Payload {
	var p Payload
	if len(b) == 0 || b[0] != '{' || json.Unmarshal(b, &p) != nil {
		return Payload{}
	}
	p.RunMS = max(p.RunMS, 0)
	p.ResultBytes = min(max(p.ResultBytes, 0), MaxResultBytes)
	return p
}

// Answer returns the only correct result of a payload: its echo followed by
// digests of the payload, as many bytes in total as the payload asks for.
func Answer(payload []byte) []byte { return answer(parsePayload(payload), sha256.Sum256(payload)) }

func answer(p Payload, digest [sha256.Size]byte) []byte {
	size := p.ResultBytes
	if size == 0 {
		size = len(p.Echo) + sha256.Size
	}
	b := make([]byte, 0, size+sha256.Size)
	b = append(b, p.Echo...)
	block := digest
	for n := uint64(1); len(b) < size; n++ {
		b = append(b, block[:]...)
		block = sha256.Sum256(binary.BigEndian.AppendUint64(digest[:], n))
	}
	return b[:size]
}
