package command

import (
	"os"

	"github.com/rs/zerolog"

	"bergamotwing.example/command/internal/signals"
	"bergamotwing.example/settings"
	"bergamotwing.example/tablestore"
	"bergamotwing.example/telemetry"
)

// processOptions are common to the commands that run a process.
type processOptions struct {
	Settings string `long:"settings" value-name:"FILE" required:"yes" description:"settings file, JSON with comments"`
	Check    bool   `long:"check-settings" description:"check the settings file and exit"`
}

func connectPlatform(p settings.Platform) tablestore.Table {
	return tablestore.NewClient(tablestore.ClientConfig{URL: p.URL, Token: p.Token, Timeout: p.Timeout.D()})
}

func (*entryCommand) handlesSignals()  {}
func (*agentCommand) handlesSignals()  {}
func (*hostedOptions) handlesSignals() {}

// recordSignal returns a function that counts and logs each signal.
func recordSignal(log zerolog.Logger, metrics *telemetry.Metrics) func(os.Signal, signals.Effect) {
	return func(s os.Signal, effect signals.Effect) {
		metrics.Count("bergamotwing_signals_"+string(effect)+"_total", "Signals by their effect.", 1)
		log.Info().Str("event", "signal").Str("signal", s.String()).Str("effect", string(effect)).Msg("signal received")
	}
}
