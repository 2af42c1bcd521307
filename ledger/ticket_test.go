package ledger

import (
	"encoding/base64"
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"bergamotwing.example/result"
)

var badTicket = &result.Error{Code: result.BadTicket}

func tickets() *rapid.Generator[Ticket] {
	return rapid.Custom(func(t *rapid.T) Ticket {
		return Ticket{
			Entry:       rapid.StringMatching(`[a-z][a-z0-9-]{0,62}`).Draw(t, "entry"),
			Incarnation: rapid.Uint64().Draw(t, "incarnation"),
			Seq:         rapid.Uint64().Draw(t, "seq"),
			Issued:      rapid.Int64().Draw(t, "issued"),
		}
	})
}

func keys() *rapid.Generator[Key] {
	return rapid.Map(rapid.SliceOfN(rapid.Byte(), 16, 64), func(b []byte) Key { return b })
}

func TestTicketsRoundTripUnderAnyAcceptedKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		accepted := rapid.SliceOfN(keys(), 1, 4).Draw(t, "keys")
		signing := rapid.SampledFrom(accepted).Draw(t, "signing")
		want := tickets().Draw(t, "ticket")
		got, err := DecodeTicket(want.Encode(signing), accepted)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatal(diff)
		}
	})
}

func TestTicketsWithAnyFlippedBitAreRefused(t *testing.T) {
	key := Key("0123456789abcdef")
	rapid.Check(t, func(t *rapid.T) {
		text := tickets().Draw(t, "ticket").Encode(key)
		raw, err := base64.RawURLEncoding.DecodeString(text)
		if err != nil {
			t.Fatal(err)
		}
		for bit := range len(raw) * 8 {
			raw[bit/8] ^= 1 << (bit % 8)
			if _, err := DecodeTicket(base64.RawURLEncoding.EncodeToString(raw), []Key{key}); !errors.Is(err, badTicket) {
				t.Fatalf("bit %d flipped: %v", bit, err)
			}
			raw[bit/8] ^= 1 << (bit % 8)
		}
	})
}

func TestTicketsWithAnyChangedCharacterAreRefused(t *testing.T) {
	key := Key("0123456789abcdef")
	text := Ticket{Entry: "e1", Incarnation: 1, Seq: 2, Issued: 3}.Encode(key)
	for i := range text {
		for c := byte(0); c < 0x80; c++ {
			if c == text[i] {
				continue
			}
			changed := text[:i] + string(rune(c)) + text[i+1:]
			if _, err := DecodeTicket(changed, []Key{key}); !errors.Is(err, badTicket) {
				t.Fatalf("character %d is %q: %v", i, c, err)
			}
		}
	}
}

func TestTicketsWithAnyInsertedCharacterAreRefused(t *testing.T) {
	key := Key("0123456789abcdef")
	text := Ticket{Entry: "e1", Incarnation: 1, Seq: 2, Issued: 3}.Encode(key)
	for i := range len(text) + 1 {
		for c := byte(0); c < 0x80; c++ {
			changed := text[:i] + string(rune(c)) + text[i:]
			if _, err := DecodeTicket(changed, []Key{key}); !errors.Is(err, badTicket) {
				t.Fatalf("%q before character %d: %v", c, i, err)
			}
		}
	}
}

func TestTicketsFollowTheRotationOfKeys(t *testing.T) {
	first, second, third := Key("first key, 16 b."), Key("second key, 16 b"), Key("third key, 16 b.")
	ticket := Ticket{Entry: "e1", Incarnation: 1, Seq: 1, Issued: 1}
	old := ticket.Encode(first)
	steps := []struct {
		keys  []Key
		valid bool
	}{
		{[]Key{first}, true},
		{[]Key{first, second}, true},
		{[]Key{second, first}, true},
		{[]Key{second}, false},
		{[]Key{second, third}, false},
		{nil, false},
	}
	for i, step := range steps {
		_, err := DecodeTicket(old, step.keys)
		if step.valid && err != nil || !step.valid && !errors.Is(err, badTicket) {
			t.Errorf("step %d: %v", i, err)
		}
	}
}

func FuzzDecodeTicket(f *testing.F) {
	key := Key("0123456789abcdef")
	for _, text := range []string{
		"",
		"!",
		Ticket{Entry: "e1", Incarnation: 1, Seq: 2, Issued: 3}.Encode(key),
		Ticket{Entry: "e1"}.Encode(Key("another key, 16b")),
		Ticket{Entry: strings.Repeat("e", 200)}.Encode(key),
		Ticket{Entry: "e1"}.Encode(key) + "\n",
		strings.Repeat("A", maxTicketBytes+1),
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		ticket, err := DecodeTicket(text, []Key{key})
		if err != nil {
			if !errors.Is(err, badTicket) || ticket != (Ticket{}) {
				t.Fatalf("got %v with %v", ticket, err)
			}
			return
		}
		if again := ticket.Encode(key); again != text {
			t.Fatalf("%q was accepted for %q", text, again)
		}
	})
}
