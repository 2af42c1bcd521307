package tablestore

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// Largest bodies, in bytes.
const (
	MaxCommitBytes = 8 << 20  // of one transaction
	MaxObjectBytes = 16 << 20 // of one object
	MaxListBytes   = 64 << 20 // of the answer to a list
)

const (
	defaultTimeout     = 2 * time.Second
	idleConnsPerClient = 32
)

// ClientConfig configures how a Client reaches the platform.
type ClientConfig struct {
	URL        string
	Token      string        // sent as a bearer token unless empty
	Timeout    time.Duration // of one call; 0 means 2 s
	HTTPClient *http.Client  // nil means a client of its own
}

// Client accesses the platform's table and object store over HTTP. It never
// retries a call. It is safe for concurrent use.
type Client struct {
	base    string
	token   string
	timeout time.Duration
	http    *http.Client
}

var (
	_ Table   = (*Client)(nil)
	_ Objects = (*Client)(nil)
)

// NewClient returns a client. It does not connect yet.
func NewClient(cfg ClientConfig) *Client {
	c := &Client{
		base:    strings.TrimRight(cfg.URL, "/"),
		token:   cfg.Token,
		timeout: cfg.Timeout,
		http:    cfg.HTTPClient,
	}
	if c.timeout <= 0 {
		c.timeout = defaultTimeout
	}
	if c.http == nil {
		c.http = newHTTPClient()
	}
	return c
}

// newHTTPClient returns a client that follows no redirects, since following one
// would send a write twice.
func newHTTPClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: idleConnsPerClient,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	row := Row{Key: key}
	err := c.readJSON(ctx, "/table/row?key="+url.QueryEscape(key), MaxCommitBytes, &row)
	if err != nil {
		return Row{}, err
	}
	return row, nil
}

// List implements Table.
func (c *Client) List(ctx context.Context, prefix string) ([]Row, error) {
	var rows []Row
	err := c.readJSON(ctx, "/table/list?prefix="+url.QueryEscape(prefix), MaxListBytes, &rows)
	if err != nil {
		return nil, err
	}
	return rows, nil
}

// Transaction is the body of a commit.
type Transaction struct {
	Ops []Op `json:"ops"`
}

// Commit implements Table. It returns ErrRefused for a transaction over
// MaxCommitBytes, or one that the platform did not accept.
func (c *Client) Commit(ctx context.Context, ops ...Op) error {
	body, err := json.Marshal(Transaction{Ops: ops})
	if err != nil {
		return wrap(ErrRefused, err)
	}
	if len(body) > MaxCommitBytes {
		return wrapf(ErrRefused, "a transaction of %d bytes is over %d", len(body), MaxCommitBytes)
	}
	return c.write(ctx, http.MethodPost, "/table/commit", "application/json", body)
}

// GetObject implements Objects.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	return c.read(ctx, objectPath(key), MaxObjectBytes)
}

// PutObject implements Objects. It returns ErrRefused for an object over MaxObjectBytes.
func (c *Client) PutObject(ctx context.Context, key string, value []byte) error {
	if len(value) > MaxObjectBytes {
		return wrapf(ErrRefused, "an object of %d bytes is over %d", len(value), MaxObjectBytes)
	}
	return c.write(ctx, http.MethodPut, objectPath(key), "application/octet-stream", value)
}

func objectPath(key string) string { return "/objects/" + url.PathEscape(key) }

func (c *Client) readJSON(ctx context.Context, path string, limit int64, into any) error {
	body, err := c.read(ctx, path, limit)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, into); err != nil {
		return wrap(ErrUnavailable, err)
	}
	return nil
}

func (c *Client) request(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	return req, nil
}
