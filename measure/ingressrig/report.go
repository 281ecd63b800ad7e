package ingressrig

import (
	"math"
	"time"

	"flamingoreach/core/reason"
	"flamingoreach/measure/fairshare"
)

const (
	// recovered is the share of requests served in a second, as a part of that before the trigger, from which the
	// services count as recovered.
	recovered = 0.95
	// steadySeconds is how many seconds in a row have to be recovered.
	steadySeconds = 3
	// warmUp is the time after the start, in seconds, in which all gates start slowly and nothing is counted.
	warmUp = 5
)

// Report holds the figures of one case under one control; shares are rounded to three decimals.
type Report struct {
	Scenario string `json:"scenario"`
	Case     string `json:"case"`
	Control  string `json:"control"`
	Seed     uint64 `json:"seed"`
	// Goodput is the requests of the trigger's time that were served, as a share of the best possible.
	Goodput float64 `json:"goodput"`
	// TopServed is the share of those requests of the highest priority that were served.
	TopServed float64 `json:"topServed"`
	// WorstAccount is the least share of what was due to an account that it got.
	WorstAccount float64 `json:"worstAccount"`
	// Recovery is the seconds from the trigger's end until the services have recovered, -1 if they have not.
	Recovery int `json:"recoverySeconds"`
	// UnservedWithin is the requests within their account's rate that were not served though the services could have
	// done so, per million of those within the rate, over the whole run but its warm-up.
	UnservedWithin float64 `json:"unservedWithinRatePerMillion"`
	// MostExecutions and MostDeliveries are the highest numbers of executions and of deliveries to gates for one root
	// call, MeanExecutions is the mean for one request of a caller with all its repeats.
	MostExecutions int64   `json:"mostExecutions"`
	MostDeliveries int64   `json:"mostDeliveries"`
	MeanExecutions float64 `json:"meanExecutions"`
	Requests       int     `json:"requests"`
	// Refused counts the refusals that callers got by their reasons.
	Refused map[reason.Reason]int `json:"refused"`
	// Served is the requests that began in each second and were served, Possible the most that could be.
	Served   []int     `json:"served"`
	Possible []float64 `json:"possible"`
}

// tally counts requests by the second in which they began.
type tally struct {
	sce                 Scenario
	asked, served       []int
	within, withinGot   []int
	top                 int
	askedTop, servedTop int
	// wanted and accounts count each account's requests and those served while the trigger lasts.
	wanted, accounts                           []int
	executions, mostExecutions, mostDeliveries int64
	refused                                    map[reason.Reason]int
}

func newTally(sce Scenario) tally {
	seconds := int((sce.Before.Duration + sce.During.Duration + sce.After.Duration) / time.Second)
	tal := tally{
		sce: sce, refused: map[reason.Reason]int{}, asked: make([]int, seconds), served: make([]int, seconds), within: make([]int, seconds),
		withinGot: make([]int, seconds), accounts: make([]int, len(sce.Accounts)), wanted: make([]int, len(sce.Accounts)),
	}
	for _, pri := range sce.Priorities {
		tal.top = max(tal.top, pri.Value)
	}
	return tal
}

func (tal *tally) count(req *request, served bool) {
	one := 0
	if served {
		one = 1
	}
	second := min(int(req.began/time.Second), len(tal.asked)-1)
	tal.asked[second]++
	tal.served[second] += one
	if req.within {
		tal.within[second]++
		tal.withinGot[second] += one
	}
	tal.mostExecutions = max(tal.mostExecutions, req.mostExecutions)
	tal.mostDeliveries = max(tal.mostDeliveries, req.mostDeliveries)
	tal.executions += req.sumExecutions
	for _, why := range req.refused {
		tal.refused[why]++
	}
	if !tal.sce.triggered(req.began) {
		return
	}
	tal.wanted[req.account]++
	tal.accounts[req.account] += one
	if req.priority.Value == tal.top {
		tal.askedTop++
		tal.servedTop += one
	}
}

func (tal *tally) report(cas Case) Report {
	rep := Report{
		Recovery: tal.recovery(), MostExecutions: tal.mostExecutions, MostDeliveries: tal.mostDeliveries, Refused: tal.refused, Served: tal.served,
		TopServed: rounded(float64(tal.servedTop) / float64(max(tal.askedTop, 1))),
	}
	best, served := 0.0, 0
	for second, asked := range tal.asked {
		at := time.Duration(second) * time.Second
		possible := tal.sce.possible(cas, at, float64(asked))
		rep.Possible = append(rep.Possible, rounded(possible))
		rep.Requests += asked
		if tal.sce.triggered(at) {
			best += possible
			served += tal.served[second]
		}
	}
	rep.Goodput = rounded(float64(served) / best)
	rep.WorstAccount = rounded(fairshare.Worst(best, tal.wanted, tal.accounts, tal.part))
	rep.UnservedWithin = math.Round(tal.unservedWithin(cas) * 1e6)
	rep.MeanExecutions = rounded(float64(tal.executions) / float64(max(rep.Requests, 1)))
	return rep
}

// unservedWithin counts requests within the rate that were not served, less those beyond the possible.
func (tal *tally) unservedWithin(cas Case) float64 {
	within, missed := 0.0, 0.0
	for second := warmUp; second < len(tal.within); second++ {
		count := tal.within[second]
		possible := tal.sce.possible(cas, time.Duration(second)*time.Second, float64(count))
		within += float64(count)
		missed += max(0, possible-float64(tal.withinGot[second]))
	}
	return missed / max(within, 1)
}

func (tal *tally) part(account int) float64 { return tal.sce.Accounts[account].Part }

// recovery returns the seconds after the trigger from which steadySeconds in a row are recovered.
func (tal *tally) recovery() int {
	start := int(tal.sce.Before.Duration / time.Second)
	first := start + int(tal.sce.During.Duration/time.Second)
	before := tal.share(min(warmUp, start-1), start)
	steady := 0
	for second := first; second < len(tal.asked); second++ {
		steady++
		if tal.share(second, second+1) < recovered*before {
			steady = 0
		}
		if steady == steadySeconds {
			return second - first - steadySeconds + 1
		}
	}
	return -1
}

// share returns the part of the requests of some seconds that were served.
func (tal *tally) share(from, to int) float64 {
	asked, served := 0, 0
	for second := from; second < to; second++ {
		asked += tal.asked[second]
		served += tal.served[second]
	}
	return float64(served) / float64(max(asked, 1))
}

func rounded(value float64) float64 { return math.Round(value*1000) / 1000 }
