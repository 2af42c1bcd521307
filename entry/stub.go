package entry

import (
	"context"

	"github.com/rs/zerolog"

	"bergamotwing.example/platform"
	"bergamotwing.example/settings"
	"bergamotwing.example/telemetry"
)

// Deps is a placeholder until the entry is merged.
type Deps struct {
	Log     zerolog.Logger
	Metrics *telemetry.Metrics
	Table   platform.Table
}

// Entry is a placeholder until the entry is merged.
type Entry struct{}

// Addrs is a placeholder until the entry is merged.
type Addrs struct{ Callers, Operators, Links string }

// New is a placeholder until the entry is merged.
func New(settings.Entry, Deps) (*Entry, error) { return &Entry{}, nil }

// Run waits for the context.
func (*Entry) Run(ctx context.Context) error { <-ctx.Done(); return nil }

// Addrs returns no addresses.
func (*Entry) Addrs() Addrs { return Addrs{} }
