package wire

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// linkPurpose is what a link token authenticates.
const linkPurpose = "bergamotwing link"

// LinkToken returns the bearer token of links for a shared key.
func LinkToken(key []byte) string {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(linkPurpose))
	return hex.EncodeToString(h.Sum(nil))
}

// CheckLinkToken reports whether an Authorization header carries the link token
// of one of the keys. It compares in constant time.
func CheckLinkToken(header string, keys [][]byte) bool {
	token, ok := strings.CutPrefix(header, "Bearer ")
	valid := false
	for _, key := range keys {
		if hmac.Equal([]byte(token), []byte(LinkToken(key))) {
			valid = true
		}
	}
	return ok && valid
}
