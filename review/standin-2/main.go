// Command standin2 plays the cases of the second review. It starts the project's processes
// as the deploy file says, on loopback addresses, beside stand-ins of the platform's store,
// of executors and of clients. It exits with 1 if the rule was broken, 0 if it held, and 2
// if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	held      = 0
	broken    = 1
	notPlayed = 2
)

// play is a case. It returns held, broken or notPlayed.
type play struct {
	forwarded bool
	run       func(d *deployment, trouble bool) int
}

var cases = map[string]play{
	"late-duplicate": {false, lateDuplicate},
	"cut-entry":      {true, cutEntry},
	"killed-entries": {false, killedEntries},
	"frozen-home":    {false, frozenHome},
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE ROOT RECORD")
		os.Exit(notPlayed)
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notPlayed)
	}
	os.Exit(playCase(os.Args[1], root, os.Args[3]))
}

func playCase(name, root, path string) int {
	p, ok := cases[name]
	rec, err := newRecord(path)
	if !ok || err != nil {
		fmt.Fprintln(os.Stderr, "no such case, or no record:", err)
		return notPlayed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case     %s, with the disruption: %v", name, trouble)
	d, err := newDeployment(rec, root, p.forwarded)
	defer d.close()
	if err != nil {
		rec.note("result   not played: %v", err)
		return notPlayed
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	result := make(chan int, 1)
	go func() { result <- p.run(d, trouble) }()
	select {
	case r := <-result:
		rec.note("result   %s", []string{"the rule held", "the rule was broken", "not played"}[r])
		return r
	case <-stopped:
	case <-time.After(110 * time.Second):
	}
	rec.note("result   not played: out of time")
	return notPlayed
}

// checkCancelled judges the rule UNASKED: no task of a job starts later than cancel_ms after
// its cancelling was acknowledged.
func checkCancelled(d *deployment, job string, acknowledged time.Duration) int {
	result := held
	for _, s := range d.rec.startsOf(job) {
		if late := s.at - acknowledged; late > cancelTime {
			d.rec.note("judged   %s starts at %s %.3f s after the cancelling was acknowledged", s.task, s.executor, late.Seconds())
			result = broken
		}
	}
	return result
}
