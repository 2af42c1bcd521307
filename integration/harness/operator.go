package harness

import (
	"context"
	"net/http"

	"bergamotwing.example/client/api"
)

// Zones returns the zones as an entry knows them.
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
