// Package tablestore defines narrow interfaces to the platform's transactional
// table and object store, and an HTTP client that implements them.
//
// It holds no state of its own. A call that fails with ErrUnknown may have taken
// effect, so callers must make their writes idempotent.
package tablestore

import (
	"context"
	"errors"
)

// Row is one row of the table with the version that the table assigned to it.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"` // of the row; 0 means absent
}

// Op is one write of a transaction. The transaction is made only if the row is at
// IfVersion, or Any is set.
type Op struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Delete    bool   `json:"delete,omitempty"`
	IfVersion uint64 `json:"ifVersion"`     // 0: the row must not exist
	Any       bool   `json:"any,omitempty"` // whatever the row's version
}

// Table is the platform's transactional table.
type Table interface {
	// Get returns a row; an absent row has Version 0.
	Get(ctx context.Context, key string) (Row, error)
	// List returns all rows whose key starts with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Commit makes either all writes or none. It returns ErrConflict if a condition
	// does not hold, and ErrUnknown if the answer was lost.
	Commit(ctx context.Context, ops ...Op) error
}

// Objects is the platform's object store.
type Objects interface {
	GetObject(ctx context.Context, key string) ([]byte, error)
	PutObject(ctx context.Context, key string, value []byte) error
}

// Errors of the platform.
var (
	ErrConflict    = errors.New("table store: a condition of the transaction does not hold")
	ErrUnavailable = errors.New("table store: unavailable")
	ErrUnknown     = errors.New("table store: no answer, the write may have taken effect")
	ErrNotFound    = errors.New("table store: no such object")
	ErrRefused     = errors.New("table store: the request was not accepted and took no effect")
)

// Keys of the table.
const (
	KeyState      = "release/state"  // JSON release.State
	PrefixNotes   = "release/notes/" // + note id: JSON NoteRecord
	PrefixEntries = "entries/"       // + entry id: JSON EntryRecord
	PrefixAgents  = "agents/"        // + agent id: JSON AgentRecord
	PrefixFences  = "fences/"        // + entry id + "/" + number: JSON FenceRecord
)
