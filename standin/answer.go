package standin

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
)

// MaxResultBytes bounds what a payload may ask for as its answer.
const MaxResultBytes = 64 << 20

// Payload is a task's payload as an Endpoint reads it. Bytes that are no such
// JSON run 0 ms and get the default answer.
type Payload struct {
	RunMS       int    `json:"runMs,omitempty"`
	ResultBytes int    `json:"resultBytes,omitempty"` // 0 is the echo and one digest
	Fail        bool   `json:"fail,omitempty"`
	Echo        string `json:"echo,omitempty"` // the answer starts with it
}

// Encode returns the payload's bytes.
func (p Payload) Encode() []byte {
	b, _ := json.Marshal(p) // no field of a Payload can fail
	return b
}

// parsePayload skips the JSON decoder for bytes that cannot be an object.
func parsePayload(b []byte) Payload {
	var p Payload
	if len(b) == 0 || b[0] != '{' || json.Unmarshal(b, &p) != nil {
		return Payload{}
	}
	p.RunMS = max(p.RunMS, 0)
	p.ResultBytes = min(max(p.ResultBytes, 0), MaxResultBytes)
	return p
}

// Answer returns the one right result of a payload: its echo, then digests of
// the payload, in all as many bytes as it asks for.
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
