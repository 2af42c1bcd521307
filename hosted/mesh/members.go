package mesh

import (
	"context"
	"encoding/json"
	"errors"

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

// ReadMembers returns the entries registered in the store, and the rows that are
// left out since they name no entry.
func ReadMembers(ctx context.Context, store *platform.Store) ([]MemberRow, []platform.OddRow, error) {
	rows, err := store.Get(ctx, membersTable)
	if err != nil {
		return nil, nil, eris.Wrap(err, "read entries")
	}
	var members []MemberRow
	for _, row := range rows.Rows {
		m, err := decodeMember(row)
		if err != nil {
			rows.Odd = append(rows.Odd, row.Odd(err))
			continue
		}
		members = append(members, m)
	}
	return members, rows.Odd, nil
}

func decodeMember(row platform.Row) (MemberRow, error) {
	m := MemberRow{Version: row.Version}
	if row.Err != nil {
		return m, row.Err
	}
	if err := json.Unmarshal(row.Value, &m.Member); err != nil {
		return m, eris.Wrap(err, "decode entry")
	}
	if m.Name != row.Key {
		return m, eris.New("the name differs from the key")
	}
	return m, CheckMember(m.Member)
}

// CheckMember returns an error unless m names an entry that can be dialed. Its host's
// size must be in range, since homes are chosen among the largest hosts.
func CheckMember(m wire.Member) error {
	return errors.Join(
		platform.CheckName(m.Name), platform.CheckAddr(m.Addr),
		platform.CheckNumber(m.Cores, platform.MaxCores), platform.CheckNumber(m.LinkMbps, platform.MaxLinkMbps),
	)
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
