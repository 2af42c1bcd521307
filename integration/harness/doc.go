// Package harness starts deployments of real processes for tests, with a
// fault-injecting proxy on every link, and checks their answers against the task
// starts that the endpoints recorded.
//
// Only tests use it. It ends only the processes that it started.
package harness
