package command

import (
	"errors"
	"fmt"

	"github.com/jessevdk/go-flags"

	"bergamotwing.example/client"
	"bergamotwing.example/result"
)

// Exit codes of the commands.
const (
	ExitOK       = 0
	ExitFailed   = 1 // also a job of which some tasks may have run
	ExitUsage    = 2
	ExitNotRun   = 3 // nothing was done and nothing will be
	ExitUnknown  = 4 // send the same ticket or note id again
	ExitConflict = 5 // another note came first, or an id was used before
	ExitSettings = 6 // a settings, note or job file is wrong
	ExitPending  = 7 // accepted, but not confirmed everywhere yet
)

// exitMeanings describes each exit code.
var exitMeanings = [...]string{
	ExitOK:       "done",
	ExitFailed:   "failed, or the job failed and some of its tasks may have run",
	ExitUsage:    "wrong use of the command line",
	ExitNotRun:   "not run: nothing was done and nothing will be",
	ExitUnknown:  "outcome unknown: send the same ticket or note id again",
	ExitConflict: "conflict: another note came first, or an id was used before",
	ExitSettings: "a settings file, note file or job file is wrong",
	ExitPending:  "accepted, but not confirmed everywhere yet",
}

// usageError is a command line that cannot be run.
type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }

func usagef(format string, args ...any) error {
	return &usageError{text: fmt.Sprintf(format, args...)}
}

// exitByCode holds the result codes with an exit code of their own.
var exitByCode = map[result.Code]int{
	result.NoteConflict:     ExitConflict,
	result.NoteReused:       ExitConflict,
	result.TicketReused:     ExitConflict,
	result.BadSettings:      ExitSettings,
	result.NoteInvalid:      ExitSettings,
	result.StoreUnavailable: ExitUnknown,
	result.HeldNotDurable:   ExitPending,
	result.NoteUnconfirmed:  ExitPending,
}

// exitCode returns the exit code by which a script can tell what err means.
func exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var coded *result.Error
	if errors.As(err, &coded) {
		if code, ok := exitByCode[coded.Code]; ok {
			return code
		}
	}
	return exitByType(err)
}

func exitByType(err error) int {
	var (
		parse   *flags.Error
		usage   *usageError
		notRun  *client.NotRunError
		unknown *client.UnknownError
	)
	switch {
	case errors.As(err, &parse), errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &notRun):
		return ExitNotRun
	case errors.As(err, &unknown):
		return ExitUnknown
	}
	return ExitFailed
}
