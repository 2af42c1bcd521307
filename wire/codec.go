package wire

import (
	"bytes"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"bergamotwing.example/result"
)

// Limits on what is decoded from a link.
const (
	MaxMessageBytes = 64 << 20
	MaxFrameBytes   = MaxMessageBytes + maxBatchBytes
	maxArrayItems   = 1 << 20
	maxNestedLevels = 16
)

// maxPooledBytes keeps the buffers of rare large messages out of the pools.
const maxPooledBytes = 1 << 20

var (
	encMode = mustEnc()
	decMode = mustDec()
	buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}
)

func mustEnc() cbor.UserBufferEncMode {
	m, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDec() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: maxArrayItems,
		MaxNestedLevels:  maxNestedLevels,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// AppendMessage appends the encoding of m to frame: its kind, then its body.
func AppendMessage(frame []byte, m Message) ([]byte, error) {
	buf := bytes.NewBuffer(frame)
	if err := encode(buf, m); err != nil {
		return frame, err
	}
	return buf.Bytes(), nil
}

// encode appends m to buf. The error has code BadMessage.
func encode(buf *bytes.Buffer, m Message) error {
	before := buf.Len()
	if err := encMode.MarshalToBuffer(uint8(m.kind()), buf); err != nil {
		return eris.Wrap(result.Errorf(result.BadMessage, "encode kind: %v", err), "encode")
	}
	if err := encMode.MarshalToBuffer(m, buf); err != nil {
		return eris.Wrap(result.Errorf(result.BadMessage, "%s: %v", m.kind(), err), "encode")
	}
	if n := buf.Len() - before; n > MaxMessageBytes {
		return eris.Wrap(result.Errorf(result.BadMessage, "%s has %d bytes", m.kind(), n), "encode")
	}
	return nil
}

func putBuffer(buf *bytes.Buffer) {
	if buf.Cap() > maxPooledBytes {
		return
	}
	buf.Reset()
	buffers.Put(buf)
}

// DecodeFrame returns the messages of a frame in order. They share no memory with
// the frame. For a malformed frame it returns an error with code BadMessage and no
// messages.
func DecodeFrame(frame []byte) ([]Message, error) { return appendMessages(nil, frame) }

// appendMessages appends the messages of a frame to out; on error it returns nil.
func appendMessages(out []Message, frame []byte) ([]Message, error) {
	var kind Kind
	for len(frame) > 0 {
		kind = 0
		rest, err := decMode.UnmarshalFirst(frame, &kind)
		if err != nil {
			return nil, result.Errorf(result.BadMessage, "kind: %v", err)
		}
		m := newMessage(kind)
		if m == nil {
			return nil, result.Errorf(result.BadMessage, "unknown kind %d", kind)
		}
		frame, err = decMode.UnmarshalFirst(rest, m)
		if err != nil {
			return nil, result.Errorf(result.BadMessage, "%s: %v", kind, err)
		}
		out = append(out, m)
	}
	return out, nil
}
