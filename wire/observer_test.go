package wire

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

type counts struct {
	sent     map[string]int
	received map[string]int
}

func (c counts) Sent(kind string, bytes int) { c.sent[kind] += bytes }
func (c counts) Received(kind string)        { c.received[kind]++ }

func TestCountUsesTheNamesOfKinds(t *testing.T) {
	got := counts{map[string]int{}, map[string]int{}}
	obs := Count(got)
	obs.Sent(KindGrant, 100)
	obs.Sent(KindGrant, 20)
	obs.Received(KindResult)
	want := counts{map[string]int{"grant": 120}, map[string]int{"result": 1}}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(counts{})); diff != "" {
		t.Error(diff)
	}
}

func TestLinkTokenIsCheckedAgainstEveryKey(t *testing.T) {
	older, newer := []byte("0123456789abcdef"), []byte("fedcba9876543210")
	keys := [][]byte{newer, older}
	tests := []struct {
		name, header string
		want         bool
	}{
		{"first key", "Bearer " + LinkToken(newer), true},
		{"key before rotation", "Bearer " + LinkToken(older), true},
		{"unknown key", "Bearer " + LinkToken([]byte("another key here")), false},
		{"no scheme", LinkToken(newer), false},
		{"truncated token", "Bearer " + LinkToken(newer)[:63], false},
		{"empty", "", false},
	}
	for _, tt := range tests {
		if got := CheckLinkToken(tt.header, keys); got != tt.want {
			t.Errorf("%s: got %v", tt.name, got)
		}
	}
	if CheckLinkToken("Bearer ", nil) {
		t.Error("accepted without a key")
	}
}
