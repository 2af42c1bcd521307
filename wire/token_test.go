package wire

import "testing"

func TestLinkTokenIsAcceptedUnderEveryKeyAndNoOther(t *testing.T) {
	newer, older, unknown := []byte("newer key"), []byte("older key"), []byte("unknown key")
	keys := [][]byte{newer, older}
	for _, c := range []struct {
		name, header string
		want         bool
	}{
		{"newest key", "Bearer " + LinkToken(newer), true},
		{"older key", "Bearer " + LinkToken(older), true},
		{"unknown key", "Bearer " + LinkToken(unknown), false},
		{"no scheme", LinkToken(newer), false},
		{"empty", "", false},
	} {
		if got := CheckLinkToken(c.header, keys); got != c.want {
			t.Errorf("%s: accepted = %v, want %v", c.name, got, c.want)
		}
	}
}
