package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/tailscale/hujson"

	"bergamotwing.example/result"
)

// UnmarshalJSON reads a duration from text such as "250ms".
func (d *Duration) UnmarshalJSON(b []byte) error {
	var text string
	if err := json.Unmarshal(b, &text); err != nil {
		return result.Errorf(result.BadSettings, "a duration is text such as \"250ms\"")
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return result.Errorf(result.BadSettings, "duration %q: use a form such as \"250ms\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON writes a duration as text.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

func load(file string, into any) error {
	text, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		return result.Errorf(result.BadSettings, "%v", err)
	}
	plain, err := hujson.Standardize(text)
	if err != nil {
		return result.Errorf(result.BadSettings, "%s: %v", file, err)
	}
	dec := json.NewDecoder(bytes.NewReader(plain))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return result.Errorf(result.BadSettings, "%s:%d: %v", file, lineAt(plain, dec.InputOffset()), err)
	}
	var invalid validator.ValidationErrors
	if err := validator.New().Struct(into); errors.As(err, &invalid) {
		f := invalid[0]
		return result.Errorf(result.BadSettings, "%s: %s must satisfy %s=%s", file, f.Namespace(), f.Tag(), f.Param())
	}
	return nil
}

func lineAt(text []byte, offset int64) int {
	return 1 + bytes.Count(text[:min(int(offset), len(text))], []byte("\n"))
}
