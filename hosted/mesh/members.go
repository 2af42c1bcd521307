package mesh

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"bergamotwing.example/platform"
	"bergamotwing.example/wire"
)

// membersTable is the store's table with a row for each entry.
const membersTable = "bergamotwing-entries"

// MemberRow is an entry's row in the store.
type MemberRow struct {
	wire.Member
	Version uint64 `json:"-"` // of the row
}

// ReadMembers returns the entries registered in the store. Rows that cannot be
// decoded, or whose name differs from their key, are left out.
func ReadMembers(ctx context.Context, store *platform.Store) ([]MemberRow, error) {
	rows, err := store.Get(ctx, membersTable)
	if err != nil {
		return nil, eris.Wrap(err, "read entries")
	}
	var members []MemberRow
	for _, row := range rows.Rows {
		m := MemberRow{Version: row.Version}
		if json.Unmarshal(row.Value, &m.Member) == nil && m.Name == row.Key {
			members = append(members, m)
		}
	}
	return members, nil
}

// WriteMember registers an entry.
func WriteMember(ctx context.Context, store *platform.Store, m wire.Member) error {
	value, err := json.Marshal(m)
	if err != nil {
		return eris.Wrap(err, "encode entry")
	}
	row := platform.Row{Table: membersTable, Key: m.Name, Value: value}
	return eris.Wrap(store.Write(ctx, platform.Transaction{Set: []platform.Row{row}}), "register entry")
}

// RemoveMember removes an entry's row if nobody has written it since it was read.
func RemoveMember(ctx context.Context, store *platform.Store, m MemberRow) error {
	row := platform.Row{Table: membersTable, Key: m.Name, Version: m.Version}
	tx := platform.Transaction{Expect: []platform.Row{row}, Remove: []platform.Row{row}}
	return eris.Wrap(store.Write(ctx, tx), "remove entry")
}
