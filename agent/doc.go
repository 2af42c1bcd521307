// Package agent is the process beside each endpoint. It offers the endpoint's
// free slots to the entries as credits, checks every grant before it starts a
// task, keeps the record of what it started, and reports the results.
//
// Control state (configuration, membership, permission) lives in one actor that
// publishes immutable snapshots. Goroutines that carry traffic read snapshots
// and never wait for the actor. Package entry decides where tasks are placed.
package agent
