// Package dispatch decides which jobs wait, which are refused and where tasks
// run, for jobs whose caller waits for the outcome. It has two halves:
// Scheduler, at the entry that holds a service's queue, and Guard, at the agent
// beside an endpoint, which makes the final decision on every start.
//
// Neither does I/O. Callers pass the current time, a duration on a clock that
// counts suspended time too, and carry out the actions that are returned.
package dispatch
