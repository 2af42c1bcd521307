package wire

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"bergamotwing.example/result"
)

// Limits on what is decoded from a link.
const (
	MaxFrameBytes   = 64 << 20
	maxArrayItems   = 1 << 20
	maxNestedLevels = 16
)

var (
	encMode = mustEnc()
	decMode = mustDec()
)

func mustEnc() cbor.EncMode {
	m, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDec() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: maxArrayItems, MaxNestedLevels: maxNestedLevels}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// AppendMessage appends the encoding of m to frame: its kind, then its body.
func AppendMessage(frame []byte, m Message) ([]byte, error) {
	kind, err := encMode.Marshal(uint8(m.kind()))
	if err != nil {
		return frame, eris.Wrap(err, "encode kind")
	}
	body, err := encMode.Marshal(m)
	if err != nil {
		return frame, eris.Wrapf(err, "encode %s", m.kind())
	}
	frame = append(frame, kind...)
	return append(frame, body...), nil
}

// DecodeFrame returns the messages of a frame in order. A malformed frame gives
// an error with code BadMessage and no messages.
func DecodeFrame(frame []byte) ([]Message, error) {
	var out []Message
	for len(frame) > 0 {
		var kind uint8
		rest, err := decMode.UnmarshalFirst(frame, &kind)
		if err != nil {
			return nil, result.Errorf(result.BadMessage, "kind: %v", err)
		}
		m := newMessage(Kind(kind))
		if m == nil {
			return nil, result.Errorf(result.BadMessage, "unknown kind %d", kind)
		}
		rest, err = decMode.UnmarshalFirst(rest, m)
		if err != nil {
			return nil, result.Errorf(result.BadMessage, "%s: %v", Kind(kind), err)
		}
		out = append(out, m)
		frame = rest
	}
	return out, nil
}
