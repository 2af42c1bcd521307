// Package signals handles the signals of a process from its start to its end. It
// has few imports, so that it is initialised before packages that take long to
// initialise.
package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Effect is what a signal does to a server process.
type Effect string

// The effects of signals.
const (
	Stop   Effect = "stop"   // the process finishes its open work, then ends
	Reload Effect = "reload" // settings are read again
	Ignore Effect = "ignore" // nothing
	End    Effect = "end"    // the process ends at once
)

const exitInterrupted = 128 + int(syscall.SIGINT) // as shells report it

// Each signal has its own channel, so that many signals of one kind cannot
// displace one of another kind.
var (
	hangup    = make(chan os.Signal, 1)
	interrupt = make(chan os.Signal, 1)
	terminate = make(chan os.Signal, 1)
)

func init() {
	signal.Notify(hangup, syscall.SIGHUP)
	signal.Notify(interrupt, syscall.SIGINT)
	signal.Notify(terminate, syscall.SIGTERM)
}

// Default gives signals their default effects and raises again those received so
// far, which then take effect too. It is for commands that are not servers.
func Default() {
	all := []chan os.Signal{hangup, interrupt, terminate}
	for _, c := range all {
		signal.Stop(c) // waits for a signal that is being delivered
	}
	restoreHangup()
	for _, c := range all {
		select {
		case s := <-c:
			raise(s)
		default:
		}
	}
}

// Watch handles signals until the process ends: a signal with its default effect
// would abort the open requests of a process that is stopping. It returns a
// context that ends at the first signal to stop, and a channel that gets a value
// when settings are to be read again. record is called for each signal and may
// block.
func Watch(reloads bool, record func(os.Signal, Effect)) (stopping context.Context, reload <-chan struct{}) {
	signal.Ignore(syscall.SIGPIPE) // the reader of standard output or error may exit before the process does
	ctx, stop := context.WithCancel(context.Background())
	pending := make(chan struct{}, 1)
	go func() {
		for {
			s := next()
			effect := effectOf(s, ctx.Err() != nil, reloads)
			switch effect {
			case Stop:
				stop()
			case Reload:
				select {
				case pending <- struct{}{}:
				default: // a reload is pending already
				}
			case End:
				os.Exit(exitInterrupted)
			case Ignore:
			}
			go record(s, effect)
		}
	}()
	return ctx, pending
}

func next() os.Signal {
	select {
	case s := <-hangup:
		return s
	case s := <-interrupt:
		return s
	case s := <-terminate:
		return s
	}
}

// effectOf decides what a signal does. Only SIGINT, Ctrl-C at a terminal, ends a
// process that is already stopping; the platform kills a process that takes too
// long to stop.
func effectOf(s os.Signal, stopping, reloads bool) Effect {
	switch {
	case stopping && s == syscall.SIGINT:
		return End
	case stopping:
		return Ignore
	case s != syscall.SIGHUP:
		return Stop
	case reloads:
		return Reload
	}
	return Ignore
}

func raise(s os.Signal) {
	if number, ok := s.(syscall.Signal); ok {
		_ = syscall.Kill(os.Getpid(), number) // a process may signal itself
	}
}
