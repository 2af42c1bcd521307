package command

import (
	"context"
	"errors"
	"net"
	"net/http"
	"reflect"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"bergamotwing.example/hosted/connlimit"
	"bergamotwing.example/hosted/control"
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
	limiter *connlimit.Limiter // bounds what clients of the listeners hold
	flush   func()             // writes the log lines that are still buffered
}

func newHostedProcess(out *output, role string, node platform.Node, bounds connlimit.Options) (*hostedProcess, error) {
	limits, err := connlimit.LimitsOf(node.MemoryMB, node.Descriptors, bounds)
	if err != nil {
		return nil, usagef("%v", err)
	}
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	log, flush := logs.New(out.stdout, role, node.Name, node.Zone, func(n int) {
		metrics.Count("bergamotwing_log_lines_dropped_total", "Log lines dropped because the reader was too slow or gone.", int64(n))
	})
	p := &hostedProcess{log: log, metrics: metrics, flush: flush}
	p.limiter = connlimit.New(limits, control.NewLimitReport(p.deps()).Closed)
	metrics.Gauge("bergamotwing_connlimit_held_bytes", "Bytes that clients of all listeners hold.", func() float64 { return float64(p.limiter.Held()) })
	metrics.Gauge("bergamotwing_connlimit_connections", "Open connections of all listeners.", func() float64 { return float64(p.limiter.Count()) })
	return p, nil
}

func (p *hostedProcess) deps() control.Deps {
	return control.Deps{Log: p.log, Metrics: p.metrics, Limiter: p.limiter}
}

func (p *hostedProcess) serveMetrics(ip string, port int) error {
	if port == 0 {
		return nil
	}
	listener, err := p.limiter.Listen(context.Background(), net.JoinHostPort(ip, strconv.Itoa(port)), p.limiter.Service("metrics"))
	if err != nil {
		return err
	}
	server := p.limiter.Server(p.metrics.Handler(), metricsTimeout)
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
