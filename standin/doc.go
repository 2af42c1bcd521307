// Package standin holds small servers that take the place of the platform and
// of an endpoint in tests and trials, with faults that can be switched on while
// they run.
//
// They keep everything in memory and decide nothing about the dispatcher.
package standin
