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
	// listed is set once the store has listed all rows, in the era listedEra. Changes in that era are complete.
	listed    bool
	listedEra uint64
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
	rec.listed, rec.listedEra = true, max(rec.listedEra, eva.Position.Era)
	rec.replace(eva, "store")
}

// Changed records an answer of the store with the changes up to a position, in their order, since an earlier answer. An
// answer without changes confirms the present rows. Changes in another era than that of the last list say nothing about
// the rows in between and are ignored, until the rows of that era are listed.
func (rec *Record) Changed(position storeposition.Position, changes []change.Change) {
	if !rec.listed || position.Era != rec.listedEra || position.Era != rec.latest.Position.Era || !rec.latest.Position.Before(position) {
		return
	}
	dataCentres := slices.Clone(rec.latest.DataCentres)
	for _, cha := range changes {
		dataCentres = slices.DeleteFunc(dataCentres, func(name string) bool { return name == cha.DataCentre })
		if cha.Evacuated {
			dataCentres = append(dataCentres, cha.DataCentre)
		}
		// The operators have decided on this data centre in the present era.
		delete(rec.kept, cha.DataCentre)
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
