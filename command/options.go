package command

import (
	"context"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"bergamotwing.example/client"
	"bergamotwing.example/result"
)

// operatorOptions say how to reach the operators' API.
type operatorOptions struct {
	Operators []string      `long:"operators" value-name:"URL" env:"BERGAMOTWING_OPERATORS" env-delim:"," description:"operators' base URL of an entry; may be given several times"`
	TokenFile string        `long:"token-file" value-name:"FILE" env:"BERGAMOTWING_TOKEN_FILE" description:"file with the operators' token"`
	Timeout   time.Duration `long:"timeout" default:"15s" description:"give up after this time"`
	JSON      bool          `long:"json" description:"print JSON"`
}

// callerOptions say how to reach the callers' API.
type callerOptions struct {
	Entries   []string      `long:"entries" value-name:"URL" env:"BERGAMOTWING_ENTRIES" env-delim:"," description:"callers' base URL of an entry; may be given several times"`
	TokenFile string        `long:"token-file" value-name:"FILE" env:"BERGAMOTWING_TOKEN_FILE" description:"file with the caller's token"`
	Timeout   time.Duration `long:"timeout" default:"60s" description:"give up after this time"`
	JSON      bool          `long:"json" description:"print JSON"`
}

func (o *operatorOptions) connect() (*client.Operator, error) {
	urls := nonEmpty(o.Operators)
	if len(urls) == 0 {
		return nil, usagef("no entry: give --operators URL or set BERGAMOTWING_OPERATORS")
	}
	token, err := readToken(o.TokenFile)
	if err != nil {
		return nil, err
	}
	return client.NewOperator(client.Config{Entries: urls, Token: token})
}

// call runs do with a connection to the operators' API, until a signal or the
// timeout.
func (o *operatorOptions) call(do func(context.Context, *client.Operator) error) error {
	op, err := o.connect()
	if err != nil {
		return err
	}
	defer op.Close()
	ctx, cancel := within(o.Timeout)
	defer cancel()
	return do(ctx, op)
}

func (o *callerOptions) connect() (*client.Client, error) {
	urls := nonEmpty(o.Entries)
	if len(urls) == 0 {
		return nil, usagef("no entry: give --entries URL or set BERGAMOTWING_ENTRIES")
	}
	token, err := readToken(o.TokenFile)
	if err != nil {
		return nil, err
	}
	return client.New(client.Config{Entries: urls, Token: token, TicketPack: 1})
}

// call runs do with a connection to the callers' API, until a signal or the
// timeout.
func (o *callerOptions) call(do func(context.Context, *client.Client) error) error {
	cl, err := o.connect()
	if err != nil {
		return err
	}
	defer cl.Close()
	ctx, cancel := within(o.Timeout)
	defer cancel()
	return do(ctx, cl)
}

// nonEmpty drops empty items, which an empty environment variable adds.
func nonEmpty(items []string) []string {
	return slices.DeleteFunc(slices.Clone(items), func(s string) bool { return s == "" })
}

func readToken(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	text, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return "", result.Errorf(result.BadSettings, "%v", err)
	}
	return strings.TrimSpace(string(text)), nil
}

// untilSignal returns a context that ends at the first SIGINT or SIGTERM. A
// second signal has its default effect and kills the process.
func untilSignal() (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	context.AfterFunc(ctx, stop)
	return ctx, stop
}

// within is untilSignal with a timeout.
func within(timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, stop := untilSignal()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	return ctx, func() { cancel(); stop() }
}
