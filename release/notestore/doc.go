// Package notestore stores release notes and the resulting state in the platform's
// table.
//
// A note is accepted by one transaction that writes the note's row and the new
// state, on condition that the state's row has not changed. Calls are idempotent by
// note id: after a lost answer, the same call returns the outcome of the first one.
package notestore
