// Package settings reads the settings files of the processes. They are JSON with
// comments; every key is checked, and errors state the file, the line and the
// allowed range.
//
// Settings are fixed for the lifetime of a process. What changes while it runs is
// set by release notes.
package settings

import "time"

// Duration is a time.Duration written as text, such as "250ms".
type Duration time.Duration

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// TLS names the files of a certificate, of its key and of the certificate authority
// that must have signed the certificates of peers. Empty fields turn TLS off.
type TLS struct {
	CertFile string `json:"certFile" validate:"required_with=KeyFile,omitempty,file"`
	KeyFile  string `json:"keyFile" validate:"required_with=CertFile,omitempty,file"`
	CAFile   string `json:"caFile" validate:"omitempty,file"`
}

// Key is a shared secret, inline or in a file. In a list of keys, the first one
// signs and all of them are accepted, so that keys can be rotated.
type Key struct {
	Secret     string `json:"secret" validate:"required_without=SecretFile,excluded_with=SecretFile,omitempty,min=16,max=256"`
	SecretFile string `json:"secretFile" validate:"omitempty,file"`
}

// Platform configures access to the platform's table and object store.
type Platform struct {
	URL     string   `json:"url" validate:"required,base_url"`
	Token   string   `json:"token" validate:"max=256"`
	Timeout Duration `json:"timeout" validate:"min=50000000,max=30000000000"` // 50ms-30s
}

// Limits restrict what callers may send.
type Limits struct {
	BodyBytes    int      `json:"bodyBytes" validate:"min=1024,max=67108864"`
	PayloadBytes int      `json:"payloadBytes" validate:"min=16,max=8388608"`
	Tasks        int      `json:"tasks" validate:"min=1,max=10000"`
	OpenJobs     int      `json:"openJobs" validate:"min=1,max=1000000"`
	Tickets      int      `json:"tickets" validate:"min=1,max=10000"` // of one request
	ReadTimeout  Duration `json:"readTimeout" validate:"min=100000000,max=300000000000"`
	MaxDeadline  Duration `json:"maxDeadline" validate:"min=1000000000,max=600000000000"`
	ResultBytes  int      `json:"resultBytes" validate:"min=1024,max=268435456"` // of answers kept for resubmissions
}

// Entry holds the settings of an entry.
type Entry struct {
	ID             string   `json:"id" validate:"required,name"`
	Zone           string   `json:"zone" validate:"required,name"`
	Listen         string   `json:"listen" validate:"required,listen"`         // callers
	OperatorListen string   `json:"operatorListen" validate:"required,listen"` // operators
	OperatorToken  string   `json:"operatorToken" validate:"omitempty,min=16,max=256"`
	LinkListen     string   `json:"linkListen" validate:"required,listen"` // agents and peers
	LinkAddr       string   `json:"linkAddr" validate:"omitempty,dial"`    // as others dial it; the default is LinkListen, or empty if that has port 0
	MetricsListen  string   `json:"metricsListen" validate:"omitempty,listen"`
	Peers          []string `json:"peers" validate:"max=64,unique,dive,dial"` // link addresses known in advance
	Keys           []Key    `json:"keys" validate:"required,min=1,max=8,dive"`
	Platform       Platform `json:"platform" validate:"required"`
	TLS            TLS      `json:"tls"`     // callers and operators
	LinkTLS        TLS      `json:"linkTls"` // between processes
	HTTP2          bool     `json:"http2"`   // unencrypted HTTP/2 besides HTTP/1.1
	Limits         Limits   `json:"limits"`
	StopTimeout    Duration `json:"stopTimeout" validate:"min=1000000000,max=600000000000"`
	LogLevel       string   `json:"logLevel" validate:"oneof=debug info warn error"`
}

// Agent holds the settings of an agent.
type Agent struct {
	ID          string   `json:"id" validate:"required,name"`
	Zone        string   `json:"zone" validate:"required,name"`
	Service     string   `json:"service" validate:"required,name"`
	Endpoint    string   `json:"endpoint" validate:"required,base_url"` // base URL of the agent's endpoint, beside it
	Slots       int      `json:"slots" validate:"min=1,max=1024"`
	Connections int      `json:"connections" validate:"min=1,max=4096"`
	MemoryMB    int      `json:"memoryMb" validate:"min=1,max=16777216"`
	Listen      string   `json:"listen" validate:"required,listen"` // here the endpoint announces that it is leaving; also metrics and health
	Entries     []string `json:"entries" validate:"required,min=1,max=64,unique,dive,dial"`
	Keys        []Key    `json:"keys" validate:"required,min=1,max=8,dive"`
	Platform    Platform `json:"platform" validate:"required"`
	LinkTLS     TLS      `json:"linkTls"`
	ResultBytes int      `json:"resultBytes" validate:"min=1024,max=268435456"` // of results held for settlement
	StopTimeout Duration `json:"stopTimeout" validate:"min=1000000000,max=600000000000"`
	LogLevel    string   `json:"logLevel" validate:"oneof=debug info warn error"`
}

// DefaultEntry returns the default settings of an entry, which its file overrides.
func DefaultEntry() Entry {
	return Entry{
		Platform: Platform{Timeout: Duration(2 * time.Second)},
		Limits: Limits{
			BodyBytes:    16 << 20,
			PayloadBytes: 64 << 10,
			Tasks:        1000,
			OpenJobs:     20000,
			Tickets:      1000,
			ReadTimeout:  Duration(10 * time.Second),
			MaxDeadline:  Duration(2 * time.Minute),
			ResultBytes:  16 << 20,
		},
		StopTimeout: Duration(30 * time.Second),
		LogLevel:    "info",
	}
}

// DefaultAgent returns the default settings of an agent, which its file overrides.
func DefaultAgent() Agent {
	return Agent{
		Slots:       8,
		Connections: 60,
		MemoryMB:    1024,
		Platform:    Platform{Timeout: Duration(2 * time.Second)},
		ResultBytes: 8 << 20,
		StopTimeout: Duration(30 * time.Second),
		LogLevel:    "info",
	}
}
