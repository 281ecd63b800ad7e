package arrivals

import (
	"math/rand/v2"
	"time"

	"flamingoreach/io/load/account"
	"flamingoreach/io/load/arrival"
	"flamingoreach/io/load/kind"
	"flamingoreach/io/load/plan"
)

// maxGap bounds the time between two arrivals, so that at very low rates it does not overflow a time.Duration.
const maxGap = 1000 * time.Hour

// Arrivals draws the requests of a plan in the order of their scheduled starts.
type Arrivals struct {
	plan    plan.Plan
	drawn   int
	sources []source
}

// source draws the arrivals of one account; next is the offset of the next one.
type source struct {
	account account.Account
	random  *rand.Rand
	next    time.Duration
	bucket  bucket
}

// bucket is a token bucket that tells which arrivals the allowed rate and burst of an account cover.
type bucket struct {
	tokens     float64
	lastRefill time.Duration
}

// takeToken reports whether an arrival is covered, and takes its token if so.
func (buc *bucket) takeToken(acc account.Account, offset time.Duration) bool {
	buc.tokens = min(acc.AllowedBurst, buc.tokens+acc.AllowedRate*(offset-buc.lastRefill).Seconds())
	buc.lastRefill = offset
	if buc.tokens < 1 {
		return false
	}
	buc.tokens--
	return true
}

// New returns the arrivals of a plan; equal plans give equal arrivals.
func New(pla plan.Plan) *Arrivals {
	arr := &Arrivals{plan: pla}
	for index, acc := range pla.Accounts {
		if acc.Rate <= 0 {
			continue
		}
		src := source{
			account: acc, random: rand.New(rand.NewPCG(pla.Seed, uint64(index))), bucket: bucket{tokens: acc.AllowedBurst},
		}
		src.advance(pla)
		arr.sources = append(arr.sources, src)
	}
	return arr
}

// Next returns the next arrival, or false when a bound of the plan is reached.
func (arr *Arrivals) Next() (arrival.Arrival, bool) {
	first := 0
	for index := range arr.sources {
		if arr.sources[index].next < arr.sources[first].next {
			first = index
		}
	}
	if arr.drawn >= arr.plan.Requests || len(arr.sources) == 0 || arr.sources[first].next >= arr.plan.Duration {
		return arrival.Arrival{}, false
	}
	arr.drawn++
	return arr.sources[first].draw(arr.plan), true
}

func (src *source) draw(pla plan.Plan) arrival.Arrival {
	due := arrival.Arrival{
		Offset: src.next, Account: src.account,
		Kind: pickKind(pla.Kinds, src.random.Float64()), Seed: src.random.Uint64(),
		WithinRate: src.bucket.takeToken(src.account, src.next),
	}
	src.advance(pla)
	return due
}

// advance draws the next arrival of a Poisson process whose rate changes at the start and the end of the surge: it draws
// an exponential amount with mean 1 and spends it, segment by segment, at the rate in force.
func (src *source) advance(pla plan.Plan) {
	events := src.random.ExpFloat64()
	for {
		factor, change := pla.Surge.At(src.next)
		rate := src.account.Rate * factor
		gap := time.Duration(min(events/rate, maxGap.Seconds()) * float64(time.Second))
		if change == 0 || src.next+gap < change {
			src.next += gap
			return
		}
		events -= rate * (change - src.next).Seconds()
		events = max(events, 0)
		src.next = change
	}
}

func pickKind(kinds []kind.Kind, random float64) kind.Kind {
	total := 0.0
	for _, kin := range kinds {
		total += kin.Weight
	}
	left := random * total
	for _, kin := range kinds {
		left -= kin.Weight
		if left < 0 {
			return kin
		}
	}
	return kinds[len(kinds)-1]
}
