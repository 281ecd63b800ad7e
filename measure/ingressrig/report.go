package ingressrig

import (
	"math"
	"time"

	"flamingoreach/core/reason"
	"flamingoreach/measure/fairshare"
)

const (
	// A second counts as recovered if the fraction of its requests that were served is at least recoveredFraction of
	// the fraction that was served before the trigger.
	recoveredFraction = 0.95
	// steadySeconds is the number of consecutive recovered seconds after which the services count as recovered.
	steadySeconds = 3
	// warmUp is the time after the start, in seconds, that UnservedWithinRate and the fraction served before the
	// trigger leave out, because all gates start slowly.
	warmUp = 5
)

// Report holds the figures of one case under one control; fractions are rounded to three decimals.
type Report struct {
	Scenario string `json:"scenario"`
	Case     string `json:"case"`
	Control  string `json:"control"`
	Seed     uint64 `json:"seed"`
	// Goodput is the number of requests served of those that began during the trigger, as a fraction of the number
	// that the services could have served.
	Goodput float64 `json:"goodput"`
	// TopServed is the fraction served of the highest-priority requests that began during the trigger.
	TopServed float64 `json:"topServed"`
	// WorstAccount is the lowest ratio, over all accounts, of served requests to the account's fair share.
	WorstAccount float64 `json:"worstAccount"`
	// Recovery is the time from the trigger's end until the services have recovered, in seconds, or -1 if they have not.
	Recovery int `json:"recoverySeconds"`
	// UnservedWithinRate is the number of requests within their account's rate that were not served although the
	// services had the capacity, per million requests within the rate, over the whole run except its warm-up. A request
	// is within the rate if its last attempt was.
	UnservedWithinRate float64 `json:"unservedWithinRatePerMillion"`
	// MostExecutions and MostDeliveries are the highest numbers of executions and of deliveries to gates for one root
	// call with its deeper calls; a root call is one attempt of a caller. MeanExecutions is the mean number of
	// executions for one request of a caller with all its attempts.
	MostExecutions int64   `json:"mostExecutions"`
	MostDeliveries int64   `json:"mostDeliveries"`
	MeanExecutions float64 `json:"meanExecutions"`
	Requests       int     `json:"requests"`
	// Refused counts the refusals that callers received, by reason.
	Refused map[reason.Reason]int `json:"refused"`
	// Served holds, for each second, the number of requests that began in it and were served; Possible holds the
	// largest number that could have been served.
	Served   []int     `json:"served"`
	Possible []float64 `json:"possible"`
}

// tally counts requests by the second in which they began.
type tally struct {
	sce                         Scenario
	offered, served             []int
	offeredWithin, servedWithin []int
	topPriority                 int
	offeredTop, servedTop       int
	// offeredByAccount and servedByAccount count each account's requests that began during the trigger, and the served
	// ones of these.
	offeredByAccount, servedByAccount          []int
	executions, mostExecutions, mostDeliveries int64
	refused                                    map[reason.Reason]int
}

func newTally(sce Scenario) tally {
	seconds := int((sce.Before.Duration + sce.During.Duration + sce.After.Duration) / time.Second)
	tal := tally{
		sce: sce, refused: map[reason.Reason]int{}, offered: make([]int, seconds), served: make([]int, seconds), offeredWithin: make([]int, seconds),
		servedWithin: make([]int, seconds), servedByAccount: make([]int, len(sce.Accounts)), offeredByAccount: make([]int, len(sce.Accounts)),
	}
	for _, pri := range sce.Priorities {
		tal.topPriority = max(tal.topPriority, pri.Value)
	}
	return tal
}

func (tal *tally) count(req *request, served bool) {
	one := 0
	if served {
		one = 1
	}
	second := min(int(req.began/time.Second), len(tal.offered)-1)
	tal.offered[second]++
	tal.served[second] += one
	if req.withinRate {
		tal.offeredWithin[second]++
		tal.servedWithin[second] += one
	}
	tal.mostExecutions = max(tal.mostExecutions, req.mostExecutions)
	tal.mostDeliveries = max(tal.mostDeliveries, req.mostDeliveries)
	tal.executions += req.sumExecutions
	for _, why := range req.refusals {
		tal.refused[why]++
	}
	if !tal.sce.duringTrigger(req.began) {
		return
	}
	tal.offeredByAccount[req.account]++
	tal.servedByAccount[req.account] += one
	if req.priority.Value == tal.topPriority {
		tal.offeredTop++
		tal.servedTop += one
	}
}

func (tal *tally) report(cas Case) Report {
	rep := Report{
		Recovery: tal.recovery(), MostExecutions: tal.mostExecutions, MostDeliveries: tal.mostDeliveries, Refused: tal.refused, Served: tal.served,
		TopServed: rounded(float64(tal.servedTop) / float64(max(tal.offeredTop, 1))),
	}
	best, served := 0.0, 0
	for second, offered := range tal.offered {
		at := time.Duration(second) * time.Second
		possible := tal.sce.maxServed(cas, at, float64(offered))
		rep.Possible = append(rep.Possible, rounded(possible))
		rep.Requests += offered
		if tal.sce.duringTrigger(at) {
			best += possible
			served += tal.served[second]
		}
	}
	rep.Goodput = rounded(float64(served) / best)
	rep.WorstAccount = rounded(fairshare.Worst(best, tal.offeredByAccount, tal.servedByAccount, tal.demandFraction))
	rep.UnservedWithinRate = math.Round(tal.unservedWithinRate(cas) * 1e6)
	rep.MeanExecutions = rounded(float64(tal.executions) / float64(max(rep.Requests, 1)))
	return rep
}

// unservedWithinRate returns the fraction of the requests within the rate that were not served although the services
// had the capacity.
func (tal *tally) unservedWithinRate(cas Case) float64 {
	within, missed := 0.0, 0.0
	for second := warmUp; second < len(tal.offeredWithin); second++ {
		count := tal.offeredWithin[second]
		possible := tal.sce.maxServed(cas, time.Duration(second)*time.Second, float64(count))
		within += float64(count)
		missed += max(0, possible-float64(tal.servedWithin[second]))
	}
	return missed / max(within, 1)
}

func (tal *tally) demandFraction(account int) float64 {
	return tal.sce.Accounts[account].DemandFraction
}

// recovery returns the seconds from the trigger's end to the first of steadySeconds consecutive recovered seconds, or
// -1 if there are none.
func (tal *tally) recovery() int {
	start := int(tal.sce.Before.Duration / time.Second)
	first := start + int(tal.sce.During.Duration/time.Second)
	before := tal.servedFraction(min(warmUp, start-1), start)
	steady := 0
	for second := first; second < len(tal.offered); second++ {
		steady++
		if tal.servedFraction(second, second+1) < recoveredFraction*before {
			steady = 0
		}
		if steady == steadySeconds {
			return second - first - steadySeconds + 1
		}
	}
	return -1
}

// servedFraction returns the fraction of the requests that began in a range of seconds and were served.
func (tal *tally) servedFraction(from, to int) float64 {
	offered, served := 0, 0
	for second := from; second < to; second++ {
		offered += tal.offered[second]
		served += tal.served[second]
	}
	return float64(served) / float64(max(offered, 1))
}

func rounded(value float64) float64 { return math.Round(value*1000) / 1000 }
