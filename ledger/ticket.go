// Package ledger keeps tickets and the state of the jobs submitted under them:
// which tasks wait, were granted or finished, and the one final answer.
//
// The package sends nothing and reads no clock; times are passed in.
package ledger

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"
	"time"

	"bergamotwing.example/result"
)

// Ticket is the right to submit one job, once, to the entry incarnation that
// issued the ticket.
type Ticket struct {
	Entry       string // id of the entry
	Incarnation uint64 // of the entry
	Seq         uint64 // counted from 1 in each incarnation
	Issued      int64  // Unix seconds on the issuer's clock
}

// TicketLifetime is how long after its issue a ticket may be submitted.
const TicketLifetime = 10 * time.Minute

const (
	macBytes          = 16
	ticketHeaderBytes = 1 + 8 + 8 + 8 // version, incarnation, sequence number, time of issue
	ticketVersion     = 1             // of the encoding
	maxTicketBytes    = 256
)

// Key signs and checks tickets. All entries of a deployment share it.
type Key []byte

// Encode returns the ticket's text with its authentication code.
func (t Ticket) Encode(k Key) string {
	b := make([]byte, 0, ticketHeaderBytes+len(t.Entry)+macBytes)
	b = append(b, ticketVersion)
	b = binary.BigEndian.AppendUint64(b, t.Incarnation)
	b = binary.BigEndian.AppendUint64(b, t.Seq)
	b = binary.BigEndian.AppendUint64(b, uint64(t.Issued)) //nolint:gosec // the bit pattern is kept
	b = append(b, t.Entry...)
	b = append(b, mac(k, b)...)
	return base64.RawURLEncoding.EncodeToString(b)
}

// DecodeTicket checks a ticket's text against the keys, newest first, and
// returns the ticket. The error has code BadTicket.
func DecodeTicket(text string, keys []Key) (Ticket, error) {
	if len(text) > maxTicketBytes {
		return Ticket{}, result.Errorf(result.BadTicket, "ticket is too long")
	}
	if strings.ContainsAny(text, "\r\n") { // skipped by the decoder, so a ticket would have several texts
		return Ticket{}, result.Errorf(result.BadTicket, "ticket is malformed")
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(b) < ticketHeaderBytes+macBytes+1 || b[0] != ticketVersion {
		return Ticket{}, result.Errorf(result.BadTicket, "ticket is malformed")
	}
	body, sum := b[:len(b)-macBytes], b[len(b)-macBytes:]
	for _, k := range keys {
		if hmac.Equal(sum, mac(k, body)) {
			return parseTicket(body), nil
		}
	}
	return Ticket{}, result.Errorf(result.BadTicket, "ticket was not issued by this deployment")
}

func parseTicket(b []byte) Ticket {
	return Ticket{
		Incarnation: binary.BigEndian.Uint64(b[1:]),
		Seq:         binary.BigEndian.Uint64(b[9:]),
		Issued:      int64(binary.BigEndian.Uint64(b[17:])), //nolint:gosec // the bit pattern is kept
		Entry:       string(b[ticketHeaderBytes:]),
	}
}

func mac(k Key, b []byte) []byte {
	h := hmac.New(sha256.New, k)
	h.Write(b)
	return h.Sum(nil)[:macBytes]
}
