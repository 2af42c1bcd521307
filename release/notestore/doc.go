// Package notestore keeps release notes and the state that follows from them in
// the platform's table.
//
// A note is accepted by one transaction that writes its row and the new state,
// conditional on the state's row. Calls are idempotent by note id: after a lost
// answer the same call gives the first one's outcome.
package notestore
