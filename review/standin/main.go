// Command standin plays the cases of the review: it starts the project's own programs
// as processes on loopback addresses, with stand-ins of the store, the executors, the
// platform's forwarder and the clients.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// trial plays a case, with the disruption or without. It returns how the rule was
// broken, or an error if the case could not run.
type trial func(d *deployment, trouble bool) (breaks []string, err error)

var trials = map[string]struct {
	sides int
	play  trial
}{
	"cancel":  {11, playCancel},
	"dropped": {11, playDropped},
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Println("usage: standin CASE BINARY RECORD")
		return couldNot
	}
	t, ok := trials[os.Args[1]]
	binary, err := filepath.Abs(os.Args[2])
	if !ok || err != nil {
		fmt.Println("no such case")
		return couldNot
	}
	rec := &record{began: time.Now()}
	d, err := startDeployment(rec, binary, t.sides)
	if d == nil {
		fmt.Println(err)
		return couldNot
	}
	defer func() { d.close(os.Getenv("KEEP_LOGS") != "") }()
	var breaks []string
	if err == nil {
		breaks, err = t.play(d, os.Getenv("TROUBLE") != "0")
	}
	code := held
	switch {
	case err != nil:
		code = couldNot
		rec.note("the case could not run: %v", err)
	case len(breaks) > 0:
		code = broken
	default:
		rec.note("the rule held")
	}
	for _, b := range breaks {
		rec.note("broken: %s", b)
		fmt.Println("broken: " + b)
	}
	if err := rec.save(os.Args[3]); err != nil {
		fmt.Println(err)
		return couldNot
	}
	fmt.Printf("exit %d\n", code)
	return code
}

// newID returns a job id as a client chooses it.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
