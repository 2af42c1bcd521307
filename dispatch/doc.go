// Package dispatch decides what waits, what is refused and where tasks run for
// jobs whose caller waits for their end. It has two halves: Scheduler, at the
// entry that holds a service's queue, and Guard, at the agent beside an
// endpoint, which has the last word on every start.
//
// Neither does input or output. Callers pass the time, a duration on a clock
// that counts suspended time too, and carry out the actions that come back.
package dispatch
