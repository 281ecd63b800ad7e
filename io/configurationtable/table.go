package configurationtable

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"flamingoreach/core/acceptedversion"
	"flamingoreach/core/configurationstate"
	"flamingoreach/core/datacentre"
	"flamingoreach/core/patchoutcome"
	"flamingoreach/core/row"
	"flamingoreach/core/rowwrite"
	"flamingoreach/core/versionid"
)

const (
	currentKey           = "configuration/current"
	preparedKey          = "configuration/prepared"
	patchPrefix          = "patch/"
	versionPrefix        = "version/"
	dataCentreCollection = "dataCentre"
)

// Table reads and writes the configuration's rows through functions of the table service's client.
type Table struct {
	// Get reads one row and fails with row.ErrNotFound if there is none.
	Get func(ctx context.Context, key string) (row.Row, error)
	// List reads all rows of a collection.
	List func(ctx context.Context, collection string) ([]row.Row, error)
	// Transact applies all writes or none. It fails with row.ErrConflict if it certainly applied none; after any other
	// error they may have been applied.
	Transact func(ctx context.Context, writes []rowwrite.Write) error
}

// outcomeRow is the value of a row patch/ID: the final outcome of a patch and the version that it made.
type outcomeRow struct {
	Outcome patchoutcome.PatchOutcome `json:"outcome"`
	Version uint64                    `json:"version,omitempty"`
}

// currentRow is the value of the row configuration/current. It includes the name of the version's object in the object
// store for operators, who read it there.
type currentRow struct {
	versionid.VersionID
	Object string `json:"object"`
}

// Read reads the rows in the order that configurationstate.State requires. If patchID is empty, it reads no outcome for
// State.Own.
func (tab *Table) Read(ctx context.Context, patchID string) (configurationstate.State, error) {
	var sta configurationstate.State
	preparedRevision, err := tab.get(ctx, preparedKey, &sta.Prepared)
	if err != nil {
		return sta, err
	}
	sta.Prepared.Order = preparedRevision
	if sta.PreparedOutcome, _, err = tab.outcome(ctx, sta.Prepared.PatchID); err != nil {
		return sta, err
	}
	if sta.DataCentres, err = tab.dataCentres(ctx); err != nil {
		return sta, err
	}
	var current currentRow
	if sta.CurrentRevision, err = tab.get(ctx, currentKey, &current); err != nil {
		return sta, err
	}
	sta.Current = current.VersionID
	sta.Own, sta.OwnVersion, err = tab.outcome(ctx, patchID)
	return sta, err
}

// get decodes a row into value and returns its revision. If the row does not exist, the revision is 0 and value is
// unchanged.
func (tab *Table) get(ctx context.Context, key string, value any) (uint64, error) {
	rec, err := tab.Get(ctx, key)
	if errors.Is(err, row.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, eris.Wrapf(err, "read row %s", key)
	}
	if err := json.Unmarshal(rec.Value, value); err != nil {
		return 0, eris.Wrapf(err, "decode row %s", key)
	}
	return rec.Revision, nil
}

// outcome returns the outcome of a patch and the version that the patch made. Both are zero if the ID is empty or the
// patch has no outcome yet.
func (tab *Table) outcome(ctx context.Context, patchID string) (patchoutcome.PatchOutcome, uint64, error) {
	var out outcomeRow
	if patchID == "" {
		return out.Outcome, 0, nil
	}
	_, err := tab.get(ctx, patchPrefix+patchID, &out)
	return out.Outcome, out.Version, err
}

func (tab *Table) dataCentres(ctx context.Context) ([]datacentre.DataCentre, error) {
	recs, err := tab.List(ctx, dataCentreCollection)
	if err != nil {
		return nil, eris.Wrap(err, "list rows of data centres")
	}
	var list []datacentre.DataCentre
	for _, rec := range recs {
		dat := datacentre.DataCentre{}
		if err := json.Unmarshal(rec.Value, &dat); err != nil {
			return nil, eris.Wrapf(err, "decode row %s", rec.Key)
		}
		dat.Revision = rec.Revision
		list = append(list, dat)
	}
	return list, nil
}

// Claim makes a patch the prepared one. It fails with row.ErrConflict if the prepared or the current row has changed
// since it was read, or if the patch already has an outcome.
func (tab *Table) Claim(ctx context.Context, vid versionid.VersionID, read configurationstate.State) error {
	vid.Order = 0
	return tab.transact(ctx, "claim the prepared row",
		rowwrite.Write{Key: preparedKey, Expected: read.Prepared.Order, Value: encode(vid)},
		rowwrite.Write{Key: currentKey, Expected: read.CurrentRevision, CheckOnly: true},
		rowwrite.Write{Key: patchPrefix + vid.PatchID, CheckOnly: true},
	)
}

// Accept makes a patch the current version in one transaction, which also writes the outcome of the patch. It fails with
// row.ErrConflict if a row that the decision depends on has changed since it was read: the current and the prepared row,
// the outcome of the patch, and the rows of the data centres that are declared out.
func (tab *Table) Accept(ctx context.Context, vid versionid.VersionID, read configurationstate.State) error {
	vid.Order = 0
	writes := []rowwrite.Write{
		{Key: currentKey, Expected: read.CurrentRevision, Value: encode(currentRow{VersionID: vid, Object: vid.ObjectName()})},
		{Key: patchPrefix + vid.PatchID, Value: encode(outcomeRow{Outcome: patchoutcome.Accepted, Version: vid.Version})},
		{Key: preparedKey, Expected: read.Prepared.Order, CheckOnly: true},
		{Key: versionKey(vid.Version), Unconditional: true, Value: encode(acceptedversion.AcceptedVersion{VersionID: vid, At: time.Now().UTC()})},
	}
	for _, dat := range read.DataCentres {
		if dat.Out {
			writes = append(writes, rowwrite.Write{Key: dataCentreKey(dat.Name), Expected: dat.Revision, CheckOnly: true})
		}
	}
	return tab.transact(ctx, "accept the patch", writes...)
}

// Abort sets the outcome of a patch to aborted. It fails with row.ErrConflict if the patch already has an outcome.
func (tab *Table) Abort(ctx context.Context, vid versionid.VersionID) error {
	return tab.transact(ctx, "abort the patch",
		rowwrite.Write{Key: patchPrefix + vid.PatchID, Value: encode(outcomeRow{Outcome: patchoutcome.Aborted})})
}

// Versions returns the newest accepted versions, at most last of them, in ascending order.
func (tab *Table) Versions(ctx context.Context, last int) ([]acceptedversion.AcceptedVersion, error) {
	var current currentRow
	if _, err := tab.get(ctx, currentKey, &current); err != nil {
		return nil, err
	}
	first := uint64(1)
	if current.Version > uint64(last) {
		first = current.Version - uint64(last) + 1
	}
	var list []acceptedversion.AcceptedVersion
	for version := first; version <= current.Version; version++ {
		acc, err := tab.Version(ctx, version)
		if err != nil {
			return nil, err
		}
		list = append(list, acc)
	}
	return list, nil
}

// Version returns an accepted version. It fails with row.ErrNotFound if no accepted version has this number.
func (tab *Table) Version(ctx context.Context, version uint64) (acceptedversion.AcceptedVersion, error) {
	var acc acceptedversion.AcceptedVersion
	revision, err := tab.get(ctx, versionKey(version), &acc)
	if err == nil && revision == 0 {
		err = eris.Wrapf(row.ErrNotFound, "find version %d", version)
	}
	return acc, err
}

func versionKey(version uint64) string { return versionPrefix + strconv.FormatUint(version, 10) }

// DeclareOut marks a data centre as declared out, so that patches no longer wait for it. It fails with row.ErrNotFound
// if the table has no row for it.
func (tab *Table) DeclareOut(ctx context.Context, name string) error {
	list, err := tab.dataCentres(ctx)
	if err != nil {
		return err
	}
	for _, dat := range list {
		if dat.Name == name {
			dat.Out = true
			return tab.SetDataCentre(ctx, dat)
		}
	}
	return eris.Wrapf(row.ErrNotFound, "find data centre %s", name)
}

// SetDataCentre writes the row of a data centre if the row still has the revision in dat. The leader of the data centre
// writes it to join, an operator to declare the data centre out.
func (tab *Table) SetDataCentre(ctx context.Context, dat datacentre.DataCentre) error {
	return tab.transact(ctx, "write the data centre's row",
		rowwrite.Write{Key: dataCentreKey(dat.Name), Expected: dat.Revision, Value: encode(dat)})
}

func dataCentreKey(name string) string { return dataCentreCollection + "/" + name }

func (tab *Table) transact(ctx context.Context, step string, writes ...rowwrite.Write) error {
	if err := tab.Transact(ctx, writes); err != nil {
		return eris.Wrap(err, step)
	}
	return nil
}

// encode returns the JSON of a value. It panics on an error, which the row types of this package cannot cause.
func encode(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}
