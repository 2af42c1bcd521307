package client

import "crypto/rand"

// newNoteID returns a note id that starts with what the note does and ends in
// random text.
func newNoteID(prefix string) string { return prefix + "-" + rand.Text()[:10] }
