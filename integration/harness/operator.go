package harness

import (
	"context"
	"net/http"

	"bergamotwing.example/client/api"
)

// Zones returns an entry's view of the zones.
func (c *Caller) Zones(ctx context.Context, base string) (api.Zones, error) {
	var out api.Zones
	err := c.call(ctx, http.MethodGet, base+api.PathZones, nil, &out)
	return out, err
}

// Notes returns all notes, newest first.
func (c *Caller) Notes(ctx context.Context, base string) (api.Notes, error) {
	var out api.Notes
	err := c.call(ctx, http.MethodGet, base+api.PathNotes, nil, &out)
	return out, err
}
