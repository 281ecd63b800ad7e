package tracker

import (
	"slices"
	"time"

	"flamingoreach/charts"
	"flamingoreach/core/evacuation"
	"flamingoreach/core/machine"
)

// ReturnTime is the time over which the load of a data centre returns after its evacuation. Backend servers that have had no
// requests are cold for about 3 s.
const ReturnTime = 5 * time.Second

// Tracker is control state: its methods are called on the control thread only.
type Tracker struct {
	// OnEvacuated is called when a data centre is evacuated; OnReturning when its evacuation ends and its load may return
	// until a time; OnInService when that time is over.
	OnEvacuated func(dataCentre string)
	OnReturning func(dataCentre string, until time.Time)
	OnInService func(dataCentre string)

	// places holds the data centres that are not in service.
	places map[string]*place
}

// place is one data centre as this node sees it; the chart evacuation runs on it.
type place struct {
	tracker *Tracker
	name    string
	state   string
	until   time.Time
}

var chart = machine.MustNew(charts.MustLoad("evacuation"), []string{"listed", "unlisted", "elapsed"},
	map[string]func(*place) bool{"returnTimeOver": func(pla *place) bool { return !time.Now().Before(pla.until) }},
	map[string]func(*place){
		"evacuate":    func(pla *place) { pla.tracker.OnEvacuated(pla.name) },
		"beginReturn": (*place).beginReturn,
		"endReturn":   func(pla *place) { pla.tracker.OnInService(pla.name) },
	})

// New returns a tracker for which all data centres are in service.
func New() *Tracker {
	return &Tracker{
		OnEvacuated: func(string) {}, OnReturning: func(string, time.Time) {}, OnInService: func(string) {},
		places: map[string]*place{},
	}
}

// Apply applies the evacuations in effect.
func (tra *Tracker) Apply(eva evacuation.Evacuation) {
	for _, name := range eva.DataCentres {
		pla, known := tra.places[name]
		if !known {
			pla = &place{tracker: tra, name: name, state: chart.Initial()}
			tra.places[name] = pla
		}
		pla.fire("listed")
	}
	for name, pla := range tra.places {
		if !slices.Contains(eva.DataCentres, name) {
			pla.fire("unlisted")
		}
	}
}

// Tick ends the returns whose time is over.
func (tra *Tracker) Tick() {
	for name, pla := range tra.places {
		pla.fire("elapsed")
		if pla.state == chart.Initial() {
			delete(tra.places, name)
		}
	}
}

// State returns the state of a data centre.
func (tra *Tracker) State(dataCentre string) string {
	if pla, known := tra.places[dataCentre]; known {
		return pla.state
	}
	return chart.Initial()
}

func (pla *place) beginReturn() {
	pla.until = time.Now().Add(ReturnTime)
	pla.tracker.OnReturning(pla.name, pla.until)
}

func (pla *place) fire(event string) { pla.state = chart.Fire(pla, pla.state, event) }
