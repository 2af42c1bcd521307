package load

import (
	"context"
	"io"
	"time"
)

// Options is a placeholder until the load generator is merged.
type Options struct {
	Entries       []string
	Token         string
	Service       string
	Duration      time.Duration
	JobsPerSecond float64
	TasksPerJob   int
	Seed          uint64
}

// Report is a placeholder until the load generator is merged.
type Report struct{}

// Run is a placeholder until the load generator is merged.
func Run(context.Context, Options, io.Writer) (*Report, error) { return &Report{}, nil }
