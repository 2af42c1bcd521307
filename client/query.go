package client

import (
	"context"
	"errors"
	"net/http"

	"bergamotwing.example/client/api"
	"bergamotwing.example/result"
)

// refusal holds the fields of a refused operators' query.
type refusal struct {
	Code   result.Code `json:"code"`
	Detail string      `json:"detail"`
}

func (r refusal) refused() refusal { return r }

type refusable interface{ refused() refusal }

type notesAnswer struct {
	api.Notes
	refusal
}

type noteViewAnswer struct {
	api.NoteView
	refusal
}

type zonesAnswer struct {
	api.Zones
	refusal
}

type statusAnswer struct {
	api.Status
	refusal
}

// query asks one entry after another until one answers. The returned answer is
// never nil.
func query[T any](ctx context.Context, o *Operator, path string) (*T, error) {
	var err error
	for retry := range o.cfg.MaxAttempts {
		var a *T
		if a, err = get[T](ctx, o, path); err == nil {
			return a, nil
		}
		var refused *result.Error
		if errors.As(err, &refused) && result.Lookup(refused.Code).Resubmit == result.ResubmitNever {
			break
		}
		if o.backoff.wait(ctx, retry) != nil {
			break
		}
	}
	return new(T), commandError(err, false)
}

func get[T any](ctx context.Context, o *Operator, path string) (*T, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	entry := o.rotation.pick()
	a, status, err := call[T](ctx, o.caller, entry, http.MethodGet, path, nil)
	if err != nil {
		o.rotation.failed(entry)
		return nil, err
	}
	if status == http.StatusOK {
		return a, nil
	}
	if r, ok := any(a).(refusable); ok && r.refused().Code != result.OK {
		return nil, &result.Error{Code: r.refused().Code, Detail: r.refused().Detail}
	}
	return nil, &callError{sent: true, err: errMismatch}
}

// commandError gives the error of a call without an answer a result code. sent
// says that an earlier attempt may have taken effect.
func commandError(err error, sent bool) error {
	var coded *result.Error
	if errors.As(err, &coded) {
		return coded
	}
	var lost *callError
	if errors.As(err, &lost) && !lost.sent && !sent {
		return &NotRunError{Err: result.Errorf(result.PeerUnreachable, "no entry could be reached"), Cause: err}
	}
	return &UnknownError{Err: result.Errorf(result.OutcomeUnknown, "no entry answered"), Cause: err}
}
