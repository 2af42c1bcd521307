// Package load offers a deployment a bounded, open-loop load and measures the
// response time against the ideal, the messages wasted and the work done while
// availability zones leave and return.
//
// It starts no process; it reaches entries, operators and metrics by URL.
package load
