package command

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"bergamotwing.example/standin"
)

const (
	standinPlatformHelp = `Runs a stand-in for the platform's table and object store. It keeps
everything in memory.

Example:
$ bergamotwing standin platform --listen 127.0.0.1:8090`
	standinEndpointHelp = `Runs a stand-in for an endpoint. Its tasks run for as long as their
payload says, such as {"runMs":50,"resultBytes":20,"echo":"lamp 7"}.

Example:
$ bergamotwing standin endpoint --listen 127.0.0.1:8091 --zone gent-noord`
)

// standinStopTimeout limits the time that open requests get to finish at a stop,
// and the time to read a request's header.
const standinStopTimeout = 5 * time.Second

func standinCommands(out *output) []spec {
	return []spec{
		{name: "platform", short: "Run a platform", long: standinPlatformHelp, run: &standinPlatformCommand{out: out}},
		{name: "endpoint", short: "Run an endpoint", long: standinEndpointHelp, run: &standinEndpointCommand{out: out}},
	}
}

type standinPlatformCommand struct {
	out    *output
	Listen string `long:"listen" default:"127.0.0.1:8090" value-name:"ADDR" description:"address to listen on"`
}

// Execute serves the stand-in until a signal.
func (c *standinPlatformCommand) Execute([]string) error {
	return serveUntilSignal(c.out, c.Listen, standin.NewPlatform())
}

type standinEndpointCommand struct {
	out         *output
	Listen      string `long:"listen" default:"127.0.0.1:8091" value-name:"ADDR" description:"address to listen on"`
	Slots       int    `long:"slots" default:"8" description:"tasks that run at once"`
	Connections int    `long:"connections" default:"60" description:"connections taken at once"`
	Zone        string `long:"zone" description:"availability zone"`
	ID          string `long:"id" default:"endpoint" description:"name in the records of starts"`
}

// Execute serves the stand-in until a signal.
func (c *standinEndpointCommand) Execute([]string) error {
	config := standin.EndpointConfig{Slots: c.Slots, Connections: c.Connections, Zone: c.Zone, ID: c.ID}
	return serveUntilSignal(c.out, c.Listen, standin.NewEndpoint(config))
}

func serveUntilSignal(out *output, addr string, handler http.Handler) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	out.printf("listening on %s\n", listener.Addr())
	ctx, stop := untilSignal()
	defer stop()
	return serve(ctx, listener, handler)
}

// serve serves handler until ctx ends, then finishes the open requests.
func serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: standinStopTimeout}
	stopped := make(chan error, 1)
	go func() {
		<-ctx.Done()
		grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), standinStopTimeout)
		defer cancel()
		stopped <- server.Shutdown(grace)
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return <-stopped
}
