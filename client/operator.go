package client

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"time"

	"bergamotwing.example/client/api"
	"bergamotwing.example/result"
)

// operatorTimeout bounds one call of an operator. An entry answers well within
// it, also a note that a majority does not acknowledge.
const operatorTimeout = 10 * time.Second

// Operator drives the operators' API. Entries of its Config are the operators'
// base URLs. It is safe for concurrent use.
type Operator struct {
	cfg      Config
	caller   *caller
	rotation *rotation
	backoff  backoff
}

// NewOperator returns an operators' client. Errors have code BadSettings.
func NewOperator(cfg Config) (*Operator, error) {
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	return &Operator{
		cfg:      cfg,
		caller:   newCaller(cfg.Entries, cfg.Token, cfg.TLS, cfg.HTTPClient),
		rotation: newRotation(len(cfg.Entries), time.Now),
		backoff:  backoff{min: cfg.BackoffMin, max: cfg.BackoffMax, rand: cfg.Rand},
	}, nil
}

// Close closes the idle connections.
func (o *Operator) Close() { o.caller.http.CloseIdleConnections() }

// ApplyNote applies a release note, JSON with comments. The note's id makes
// repeated sending idempotent. An answer with code HeldNotDurable or
// NoteUnconfirmed is returned without an error; any other code but OK is returned
// as a *result.Error.
func (o *Operator) ApplyNote(ctx context.Context, note []byte) (*api.NoteAnswer, error) {
	return o.command(ctx, api.PathNotes, note)
}

// ZoneOut takes a zone out of service with a note of the given id. For an empty
// id it generates one, which all attempts of the command share. Errors are as
// those of ApplyNote.
func (o *Operator) ZoneOut(ctx context.Context, zone, noteID string) (*api.NoteAnswer, error) {
	return o.zoneCommand(ctx, zone, "out", noteID)
}

// ZoneBack brings a zone back into service; see ZoneOut.
func (o *Operator) ZoneBack(ctx context.Context, zone, noteID string) (*api.NoteAnswer, error) {
	return o.zoneCommand(ctx, zone, "back", noteID)
}

// Notes lists the release notes, newest first.
func (o *Operator) Notes(ctx context.Context) (*api.Notes, error) {
	a, err := query[notesAnswer](ctx, o, api.PathNotes)
	return &a.Notes, err
}

// Note returns one release note and where it is in force.
func (o *Operator) Note(ctx context.Context, id string) (*api.NoteView, error) {
	a, err := query[noteViewAnswer](ctx, o, api.PathNotes+"/"+url.PathEscape(id))
	return &a.NoteView, err
}

// Zones lists the availability zones.
func (o *Operator) Zones(ctx context.Context) (*api.Zones, error) {
	a, err := query[zonesAnswer](ctx, o, api.PathZones)
	return &a.Zones, err
}

// Status returns the deployment as seen by the first entry that answers.
func (o *Operator) Status(ctx context.Context) (*api.Status, error) {
	a, err := query[statusAnswer](ctx, o, api.PathStatus)
	return &a.Status, err
}

func (o *Operator) zoneCommand(ctx context.Context, zone, verb, noteID string) (*api.NoteAnswer, error) {
	if noteID == "" {
		noteID = newNoteID(zone + "-" + verb)
	}
	path := api.PathZones + "/" + url.PathEscape(zone) + "/" + verb + "?note=" + url.QueryEscape(noteID)
	return o.command(ctx, path, nil)
}

// command posts until an entry accepts the command or refuses it for good, at
// most MaxAttempts times.
func (o *Operator) command(ctx context.Context, path string, body []byte) (*api.NoteAnswer, error) {
	sent := false
	for retry := 0; ; retry++ {
		a, err := post(ctx, o, path, body)
		sent = sent || mayHaveTakenEffect(a, err)
		if err == nil && accepted(a.Code) {
			return a, nil
		}
		if err == nil {
			err = &result.Error{Code: a.Code, Detail: a.Detail}
		}
		if !o.waitRetry(ctx, retry, a) {
			return a, commandError(err, sent)
		}
	}
}

// waitRetry waits before a command is sent again. It returns false if there is to
// be no retry: the attempts are used up, the answer does not allow one or ctx has
// ended.
func (o *Operator) waitRetry(ctx context.Context, retry int, a *api.NoteAnswer) bool {
	if retry+1 >= o.cfg.MaxAttempts {
		return false
	}
	if a != nil && result.Lookup(a.Code).Resubmit == result.ResubmitNever {
		return false
	}
	return o.backoff.wait(ctx, retry) == nil
}

func post(ctx context.Context, o *Operator, path string, body []byte) (*api.NoteAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	entry := o.rotation.pick()
	a, status, err := call[api.NoteAnswer](ctx, o.caller, entry, http.MethodPost, path, body)
	if err == nil && a.Code == result.OK && status != http.StatusOK {
		err = &callError{sent: true, err: errMismatch}
	}
	if err != nil {
		o.rotation.failed(entry)
		return nil, err
	}
	return a, nil
}

// mayHaveTakenEffect reports whether an attempt of a command may have changed
// something although its answer does not say so.
func mayHaveTakenEffect(a *api.NoteAnswer, err error) bool {
	if err == nil {
		return result.Lookup(a.Code).Ran != result.RanNo
	}
	var lost *callError
	return !errors.As(err, &lost) || lost.sent
}

func accepted(c result.Code) bool {
	return c == result.OK || c == result.HeldNotDurable || c == result.NoteUnconfirmed
}
