// Package harness starts deployments of real processes for tests, with a
// fault-injecting proxy on every link, and checks what they did.
//
// Only tests use it. It ends the processes it started and no others.
package harness
