package agent

import (
	"context"

	"github.com/rs/zerolog"

	"bergamotwing.example/platform"
	"bergamotwing.example/settings"
	"bergamotwing.example/telemetry"
)

// Deps is a placeholder until the agent is merged.
type Deps struct {
	Log     zerolog.Logger
	Metrics *telemetry.Metrics
	Table   platform.Table
}

// Agent is a placeholder until the agent is merged.
type Agent struct{}

// New is a placeholder until the agent is merged.
func New(settings.Agent, Deps) (*Agent, error) { return &Agent{}, nil }

// Run waits for the context.
func (*Agent) Run(ctx context.Context) error { <-ctx.Done(); return nil }
