// Package standin holds small servers that take the place of the platform and
// of an endpoint in tests and trials, with faults that can be switched on while
// they run.
//
// They keep all state in memory and contain no logic of the dispatcher.
package standin
