package client

import (
	"crypto/tls"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"bergamotwing.example/result"
)

// Defaults of Config.
const (
	DefaultTicketPack     = 64
	DefaultMaxAttempts    = 8
	DefaultRetryBudgetPct = 10
	DefaultRetryReserve   = 20
	DefaultBackoffMin     = 20 * time.Millisecond
	DefaultBackoffMax     = time.Second
	DefaultAnswerGrace    = 3 * time.Second
)

// Config holds the entries' addresses and the limits of retries. Zero fields take
// the defaults.
type Config struct {
	Entries    []string     // base URLs, such as "http://10.0.0.1:8080"
	Token      string       // sent as a bearer token
	TLS        *tls.Config  // for https entries; not used with HTTPClient
	HTTPClient *http.Client // replaces the client's own

	TicketPack     int  // tickets kept ready for each entry
	MaxAttempts    int  // attempts of one job, the first included
	RetryBudgetPct int  // retries as a share of first attempts
	RetryReserve   int  // retries allowed before any first attempt has added to the budget
	RetryRefusals  bool // also retries Overloaded and QuotaExceeded

	BackoffMin  time.Duration
	BackoffMax  time.Duration
	AnswerGrace time.Duration // waited after a job's deadline before its answer counts as lost

	Rand func() float64 // jitter in [0, 1); safe for concurrent use
}

func (cfg *Config) check() error {
	if len(cfg.Entries) == 0 {
		return result.Errorf(result.BadSettings, "no entries")
	}
	for i, e := range cfg.Entries {
		if !strings.HasPrefix(e, "http://") && !strings.HasPrefix(e, "https://") {
			return result.Errorf(result.BadSettings, "entry %q is not an http or https URL", e)
		}
		cfg.Entries[i] = strings.TrimRight(e, "/")
	}
	return nil
}

func (cfg Config) withDefaults() Config {
	cfg.Entries = append([]string(nil), cfg.Entries...)
	setDefault(&cfg.TicketPack, DefaultTicketPack)
	setDefault(&cfg.MaxAttempts, DefaultMaxAttempts)
	setDefault(&cfg.RetryBudgetPct, DefaultRetryBudgetPct)
	setDefault(&cfg.RetryReserve, DefaultRetryReserve)
	setDefault(&cfg.BackoffMin, DefaultBackoffMin)
	setDefault(&cfg.BackoffMax, DefaultBackoffMax)
	setDefault(&cfg.AnswerGrace, DefaultAnswerGrace)
	if cfg.Rand == nil {
		cfg.Rand = rand.Float64
	}
	return cfg
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
