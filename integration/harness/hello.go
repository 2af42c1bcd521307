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
	len16       = 126 // the payload length is in the next 2 bytes
	len64       = 127 // the payload length is in the next 8 bytes
	lenMask     = 0x7f
)

// maxHelloBytes bounds the bytes that are buffered until the first message is complete.
const maxHelloBytes = 1 << 20

var endOfHeaders = []byte("\r\n\r\n")

// helloReader reads the id of the dialling process from the first message on a link.
type helloReader struct {
	buf  []byte
	done bool // the stream is not a link, or its first message was read
}

// add appends a piece of the stream and returns the dialling process's id, or an
// empty string while it is not known.
func (h *helloReader) add(b []byte) string {
	if h.done {
		return ""
	}
	h.buf = append(h.buf, b...)
	if len(h.buf) > maxHelloBytes || !bytes.HasPrefix(h.buf, []byte("GET /link/")[:min(len(h.buf), 10)]) {
		h.done, h.buf = true, nil
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
	h.done, h.buf = true, nil
	return diallerID(payload)
}

// unmask returns the unmasked payload of the first frame in b, which a client sent.
// It returns false if the frame is incomplete or longer than maxHelloBytes.
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

// diallerID returns the process id in the hello message that a frame begins with,
// or an empty string if there is none.
func diallerID(frame []byte) string {
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
