package command

import (
	"context"
	"errors"
	"net"
	"net/http"
	"reflect"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"bergamotwing.example/hosted/logs"
	"bergamotwing.example/platform"
	"bergamotwing.example/telemetry"
)

const (
	metricsTimeout = 5 * time.Second // for a request's header
	// settingsInterval is the time between two reads of the settings file, which
	// may change without a signal.
	settingsInterval = time.Second
	// settingsTimeout is how long a starting process waits until its settings can
	// be read: the platform may be writing them.
	settingsTimeout    = 2 * time.Second
	settingsRetryDelay = 50 * time.Millisecond
)

// hostedProcess holds what the entries and agents of a hosted deployment share.
type hostedProcess struct {
	log     zerolog.Logger
	metrics *telemetry.Metrics
	flush   func() // writes the log lines that are still buffered
}

func newHostedProcess(out *output, role string, node platform.Node) (*hostedProcess, error) {
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	log, flush := logs.New(out.stdout, role, node.Name, node.Zone, func(n int) {
		metrics.Count("bergamotwing_log_lines_dropped_total", "Log lines dropped because the reader was too slow or gone.", int64(n))
	})
	return &hostedProcess{log: log, metrics: metrics, flush: flush}, nil
}

func (p *hostedProcess) serveMetrics(ip string, port int) error {
	if port == 0 {
		return nil
	}
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
	if err != nil {
		return eris.Wrap(err, "listen for metrics")
	}
	server := &http.Server{Handler: p.metrics.Handler(), ReadHeaderTimeout: metricsTimeout}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.log.Error().Err(err).Msg("metrics listener ended")
		}
	}()
	return nil
}

// loadInitialSettings reads the settings of a starting process. It retries for
// settingsTimeout.
func loadInitialSettings(file string) (platform.Node, error) {
	for until := time.Now().Add(settingsTimeout); ; time.Sleep(settingsRetryDelay) {
		node, err := platform.LoadNode(file)
		if err == nil || time.Now().After(until) {
			return node, err
		}
	}
}

// reloadOnChange reads the settings file again when reload requests it and every
// settingsInterval, until ctx ends. It passes changed settings to r.
func (p *hostedProcess) reloadOnChange(ctx context.Context, reload <-chan struct{}, file string, node platform.Node, r runner) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	failure := ""
	for {
		requested := false
		select {
		case <-ctx.Done():
			return
		case <-reload:
			requested = true
		case <-ticker.C:
		}
		next, err := platform.LoadNode(file)
		if err != nil {
			if requested || err.Error() != failure {
				p.log.Error().Str("event", "reload_failed").Err(err).Msg("settings not read; the old ones stay in force")
			}
			failure = err.Error()
			continue
		}
		failure = ""
		changed := !reflect.DeepEqual(node, next)
		if requested || changed {
			p.log.Info().Str("event", "reload").Bool("changed", changed).Strs("seeds", next.SeedHosts).Msg("settings read again")
		}
		if changed {
			node = next
			r.Reload(next)
		}
	}
}
