package wire

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// linkPurpose keeps link tokens apart from other uses of the same key.
const linkPurpose = "bergamotwing link"

// LinkToken returns the bearer token that opens a link under key.
func LinkToken(key []byte) string {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(linkPurpose))
	return hex.EncodeToString(h.Sum(nil))
}

// CheckLinkToken reports whether an Authorization header carries the token of
// one of the keys. It takes the same time for every wrong token.
func CheckLinkToken(header string, keys [][]byte) bool {
	token, found := strings.CutPrefix(header, "Bearer ")
	valid := false
	for _, key := range keys {
		if hmac.Equal([]byte(token), []byte(LinkToken(key))) {
			valid = true
		}
	}
	return found && valid
}
