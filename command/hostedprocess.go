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
	// settingsEvery is the pause between two looks at the settings file, which
	// may change without a signal.
	settingsEvery = time.Second
	// settingsWait is how long a start waits for settings that can be read: the
	// platform may be writing them.
	settingsWait = 2 * time.Second
	settingsPoll = 50 * time.Millisecond
)

// hostedProcess holds what the roles of a hosted deployment share.
type hostedProcess struct {
	log     zerolog.Logger
	metrics *telemetry.Metrics
	close   func()
}

func newHostedProcess(out *output, role string, node platform.Node) (*hostedProcess, error) {
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	log, flush := logs.New(out.stdout, role, node.Name, node.Zone, func(n int) {
		metrics.Count("bergamotwing_log_lines_dropped_total", "Log lines dropped because the reader was too slow or gone.", int64(n))
	})
	return &hostedProcess{log: log, metrics: metrics, close: flush}, nil
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

// firstSettings reads the settings of a process that starts.
func firstSettings(file string) (platform.Node, error) {
	for until := time.Now().Add(settingsWait); ; time.Sleep(settingsPoll) {
		node, err := platform.LoadNode(file)
		if err == nil || time.Now().After(until) {
			return node, err
		}
	}
}

// reloadOnChange reads the settings file again when asked to and at intervals.
func (p *hostedProcess) reloadOnChange(ctx context.Context, reload <-chan struct{}, file string, node platform.Node, r runner) {
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	failure := ""
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-reload:
			asked = true
		case <-ticker.C:
		}
		next, err := platform.LoadNode(file)
		if err != nil {
			if asked || err.Error() != failure {
				p.log.Error().Str("event", "reload_failed").Err(err).Msg("settings not read; the old ones stay in force")
			}
			failure = err.Error()
			continue
		}
		failure = ""
		changed := !reflect.DeepEqual(node, next)
		if asked || changed {
			p.log.Info().Str("event", "reload").Bool("changed", changed).Strs("seeds", next.SeedHosts).Msg("settings read again")
		}
		if changed {
			node = next
			r.Reload(next)
		}
	}
}
