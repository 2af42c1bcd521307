package harness

import (
	"bytes"
	"encoding/binary"

	"bergamotwing.example/wire"
)

// WebSocket frame layout (RFC 6455).
const (
	frameHeader = 2
	maskBytes   = 4
	len16       = 126
	len64       = 127
	lenMask     = 0x7f
)

// maxHelloBytes bounds what is kept while looking for the first message.
const maxHelloBytes = 1 << 20

var endOfHeaders = []byte("\r\n\r\n")

// helloReader finds who dialled a link in the first message that it carries.
type helloReader struct {
	buf  []byte
	over bool // not a link, or its first message was read
}

// add appends a piece of the stream and returns the dialling process's id, or
// nothing while it is not known.
func (h *helloReader) add(b []byte) string {
	if h.over {
		return ""
	}
	h.buf = append(h.buf, b...)
	if len(h.buf) > maxHelloBytes || !bytes.HasPrefix(h.buf, []byte("GET /link/")[:min(len(h.buf), 10)]) {
		h.over, h.buf = true, nil
		return ""
	}
	at := bytes.Index(h.buf, endOfHeaders)
	if at < 0 {
		return ""
	}
	payload, ok := unmask(h.buf[at+len(endOfHeaders):])
	if !ok {
		return ""
	}
	h.over, h.buf = true, nil
	return dialler(payload)
}

// unmask returns the payload of the first frame that a client sent, once all of
// it is there.
func unmask(b []byte) ([]byte, bool) {
	if len(b) < frameHeader+8 {
		return nil, false
	}
	size, at := int(b[1]&lenMask), frameHeader
	switch size {
	case len16:
		size, at = int(binary.BigEndian.Uint16(b[at:])), at+2
	case len64:
		size, at = int(binary.BigEndian.Uint64(b[at:])), at+8 //nolint:gosec // bounded by maxHelloBytes
	}
	if size < 0 || size > maxHelloBytes || len(b) < at+maskBytes+size {
		return nil, false
	}
	mask, payload := b[at:at+maskBytes], bytes.Clone(b[at+maskBytes:at+maskBytes+size])
	for i := range payload {
		payload[i] ^= mask[i%maskBytes]
	}
	return payload, true
}

// dialler returns the id in a hello message.
func dialler(frame []byte) string {
	messages, err := wire.DecodeFrame(frame)
	if err != nil || len(messages) == 0 {
		return ""
	}
	switch m := messages[0].(type) {
	case *wire.AgentHello:
		return m.Agent
	case *wire.PeerHello:
		return m.Self.ID
	case *wire.NodeHello:
		return m.Name
	default:
		return ""
	}
}
