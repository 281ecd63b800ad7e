package pick

import (
	"maps"
	"time"

	"flamingoreach/core/member"
)

const (
	// returnSteps is the resolution of the part of the calls that go to a data centre whose load returns.
	returnSteps = 1000
	// heldBackCost is added to the cost of a member whose data centre does not get the call yet. It is below the cost of a
	// member of last resort, so that a member which is held back goes before one that refuses all calls.
	heldBackCost = 30 * time.Minute
)

// dataCentreReturn is the time over which the load of a data centre returns.
type dataCentreReturn struct{ from, until time.Time }

// BeginReturn lets the calls of ChooseByExpectedLatency return to a data centre over the time until the given one: the part
// of the calls for which its members are considered grows in proportion to the time. Each call is drawn on its own, so
// that the nodes of a fleet do not move their load at one moment. It must not be called concurrently with itself or with
// EndReturn.
func (pic *Picker) BeginReturn(dataCentre string, until time.Time) {
	pic.changeReturns(func(returns map[string]dataCentreReturn) {
		returns[dataCentre] = dataCentreReturn{from: time.Now(), until: until}
	})
}

// EndReturn ends the return of a data centre, whose members then count as any others.
func (pic *Picker) EndReturn(dataCentre string) {
	pic.changeReturns(func(returns map[string]dataCentreReturn) { delete(returns, dataCentre) })
}

func (pic *Picker) changeReturns(edit func(returns map[string]dataCentreReturn)) {
	returns := map[string]dataCentreReturn{}
	if former := pic.returns.Load(); former != nil {
		maps.Copy(returns, *former)
	}
	edit(returns)
	if len(returns) == 0 {
		pic.returns.Store(nil)
		return
	}
	pic.returns.Store(&returns)
}

// holdsBack returns the function that reports whether a member's data centre does not get the present call yet, or nil if
// no data centre returns.
func (pic *Picker) holdsBack(now time.Time) func(mem *member.Member) bool {
	returns := pic.returns.Load()
	if returns == nil {
		return nil
	}
	drawn := float64(pic.Random(returnSteps)) / returnSteps
	return func(mem *member.Member) bool {
		ret, returning := (*returns)[mem.DataCentre]
		return returning && drawn >= float64(now.Sub(ret.from))/float64(ret.until.Sub(ret.from))
	}
}

// RecordRefusesAll records that members refuse all calls for now, as another member of their data centre has told.
func (pic *Picker) RecordRefusesAll(ids []string) {
	until := time.Now().Add(unavailableTime)
	for _, id := range ids {
		obs := pic.observe(id)
		obs.mut.Lock()
		obs.unavailableUntil = until
		obs.mut.Unlock()
	}
}
