package record

import (
	"maps"
	"slices"
	"time"

	"flamingoreach/core/evacuation"
	"flamingoreach/core/evacuation/change"
	"flamingoreach/core/storeposition"
)

// keepTime is how long an evacuation that the later era of the store lacks remains in effect. The operators write again
// what the store has lost within seconds.
const keepTime = 10 * time.Second

// Record is control state: its methods are called on the control thread only.
type Record struct {
	// OnChange is called when the evacuated data centres in effect have changed, and once when they are first known. The
	// source is "store", "peer", or "era" when an evacuation of an earlier era ends.
	OnChange func(eva evacuation.Evacuation, source string)

	known  bool
	latest evacuation.Evacuation
	// kept maps the evacuations of earlier eras that remain in effect to the time at which they end.
	kept      map[string]time.Time
	effective evacuation.Evacuation
}

// New returns a record that knows nothing.
func New() *Record {
	return &Record{OnChange: func(evacuation.Evacuation, string) {}, kept: map[string]time.Time{}}
}

// Latest returns the latest evacuations that were read from the store, by this node or another one, and false if none are
// known. It is what other nodes are told; it does not include the evacuations of earlier eras.
func (rec *Record) Latest() (evacuation.Evacuation, bool) { return rec.latest, rec.known }

// Effective returns the evacuations in effect, those of earlier eras included.
func (rec *Record) Effective() evacuation.Evacuation { return rec.effective }

// Listed records all rows of the store at a position.
func (rec *Record) Listed(eva evacuation.Evacuation) {
	rec.replace(eva, "store")
}

// Changed records an answer of the store with the changes after a position up to another one, in their order. An answer
// without changes confirms the known rows. Changes that do not continue what is known are ignored: those of another era than
// the position that they were asked after, and those after a later position than the known one. The changes after revision
// 0 are all that there were in the era.
func (rec *Record) Changed(after, position storeposition.Position, changes []change.Change) {
	base := rec.latest
	switch {
	case rec.known && !rec.latest.Position.Before(position):
		return
	case after.Revision == 0 && base.Position.Era != position.Era:
		base = evacuation.Evacuation{}
	case after.Revision > 0 && (!rec.known || after.Era != position.Era || base.Position.Era != position.Era || base.Position.Before(after)):
		return
	}
	dataCentres := slices.Clone(base.DataCentres)
	for _, cha := range changes {
		dataCentres = slices.DeleteFunc(dataCentres, func(name string) bool { return name == cha.DataCentre })
		if cha.Evacuated {
			dataCentres = append(dataCentres, cha.DataCentre)
		}
	}
	rec.replace(evacuation.New(position, dataCentres...), "store")
}

// Receive records what another node knows.
func (rec *Record) Receive(eva evacuation.Evacuation) {
	rec.replace(evacuation.New(eva.Position, eva.DataCentres...), "peer")
}

// Tick ends the evacuations of earlier eras whose time is over.
func (rec *Record) Tick() {
	if len(rec.kept) == 0 {
		return
	}
	now := time.Now()
	maps.DeleteFunc(rec.kept, func(_ string, until time.Time) bool { return !now.Before(until) })
	rec.publish("era")
}

// replace accepts later evacuations in place of the known ones.
func (rec *Record) replace(eva evacuation.Evacuation, source string) {
	if rec.known && !rec.latest.Position.Before(eva.Position) {
		return
	}
	if rec.known && eva.Position.Era > rec.latest.Position.Era {
		until := time.Now().Add(keepTime)
		for _, name := range rec.latest.DataCentres {
			rec.kept[name] = until
		}
	}
	// A row that is present decides; when it is deleted later, the data centre returns at once.
	for _, name := range eva.DataCentres {
		delete(rec.kept, name)
	}
	first := !rec.known
	rec.latest, rec.known = eva, true
	if first {
		rec.effective = eva
		rec.OnChange(eva, source)
		return
	}
	rec.publish(source)
}

// publish recomputes the evacuations in effect and reports them if they have changed.
func (rec *Record) publish(source string) {
	effective := evacuation.New(rec.latest.Position, slices.AppendSeq(slices.Clone(rec.latest.DataCentres), maps.Keys(rec.kept))...)
	changed := !effective.Equal(rec.effective)
	rec.effective = effective
	if changed {
		rec.OnChange(effective, source)
	}
}
