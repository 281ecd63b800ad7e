package gaterig

import (
	"math"
	"time"

	"flamingoreach/core/gatestats"
	"flamingoreach/measure/fairshare"
)

const (
	// recoveredFraction is the fraction of a second's requests that must be served to count the second as recovered.
	recoveredFraction = 0.95
	// steadySeconds is the number of consecutive recovered seconds after which the service counts as recovered.
	steadySeconds = 3
)

// Report holds the figures of one case under one control; fractions are rounded to three decimals.
type Report struct {
	Scenario string `json:"scenario"`
	Case     string `json:"case"`
	Control  string `json:"control"`
	Seed     uint64 `json:"seed"`
	// Goodput is the number of requests served of those that began during the trigger, as a fraction of the number
	// that the backend server could have served.
	Goodput float64 `json:"goodput"`
	// TopServed is the fraction served of the highest-priority requests that began during the trigger.
	TopServed float64 `json:"topServed"`
	// WorstAccount is the lowest ratio, over all accounts, of served requests to the account's fair share.
	WorstAccount float64 `json:"worstAccount"`
	// Recovery is the time from the trigger's end until the service has recovered, in seconds, or -1 if it has not.
	Recovery int `json:"recoverySeconds"`
	// Executed counts the calls that the gate handed to the backend server, Requests the callers' requests, both over
	// the whole run.
	Executed uint64 `json:"executed"`
	Requests int    `json:"requests"`
}

// tally counts requests by the second in which they began.
type tally struct {
	sce         Scenario
	offered     []int
	served      []int
	topPriority int
	// servedByAccount counts the served ones of offeredByAccount.
	servedByAccount []int
	// offeredTop and servedTop count the requests of the highest priority that began during the trigger.
	offeredTop, servedTop int
	// offeredByAccount counts each account's requests that began during the trigger.
	offeredByAccount []int
}

func newTally(sce Scenario) tally {
	seconds := int((sce.Before.Duration+sce.During.Duration+sce.After.Duration)/time.Second) + 1
	tal := tally{
		sce: sce, offered: make([]int, seconds), served: make([]int, seconds),
		servedByAccount: make([]int, len(sce.Accounts)), offeredByAccount: make([]int, len(sce.Accounts)),
	}
	for _, pri := range sce.Priorities {
		tal.topPriority = max(tal.topPriority, pri.Value)
	}
	return tal
}

func (tal *tally) count(req request, served bool) {
	one := 0
	if served {
		one = 1
	}
	second := int(req.began / time.Second)
	tal.offered[second]++
	tal.served[second] += one
	if !tal.sce.duringTrigger(req.began) {
		return
	}
	tal.offeredByAccount[req.account]++
	tal.servedByAccount[req.account] += one
	if req.priority == tal.topPriority {
		tal.offeredTop++
		tal.servedTop += one
	}
}

func (tal *tally) report(sce Scenario, cas Case, sta gatestats.Stats) Report {
	requests := 0
	for _, count := range tal.offered {
		requests += count
	}
	return Report{
		Goodput:      rounded(tal.goodput(cas)),
		TopServed:    rounded(float64(tal.servedTop) / float64(max(tal.offeredTop, 1))),
		WorstAccount: rounded(fairshare.Worst(tal.possible(cas), tal.offeredByAccount, tal.servedByAccount, tal.demandFraction)),
		Recovery:     tal.recovery(sce),
		Executed:     sta.Executed,
		Requests:     requests,
	}
}

// possible returns the number of requests that the backend server could serve during the trigger.
func (tal *tally) possible(cas Case) float64 {
	possible := 0.0
	for second := range tal.offered {
		at := time.Duration(second) * time.Second
		if tal.sce.duringTrigger(at) {
			possible += min(float64(tal.offered[second]), tal.sce.capacity(cas, at))
		}
	}
	return possible
}

func (tal *tally) goodput(cas Case) float64 {
	served := 0
	for _, count := range tal.servedByAccount {
		served += count
	}
	return float64(served) / tal.possible(cas)
}

func (tal *tally) demandFraction(account int) float64 {
	return tal.sce.Accounts[account].DemandFraction
}

// recovery returns the seconds from the trigger's end to the first of steadySeconds consecutive recovered seconds, or
// -1 if there are none.
func (tal *tally) recovery(sce Scenario) int {
	first := int((sce.Before.Duration + sce.During.Duration) / time.Second)
	steady := 0
	for second := first; second < len(tal.offered)-1; second++ {
		steady++
		if float64(tal.served[second]) < recoveredFraction*float64(tal.offered[second]) {
			steady = 0
		}
		if steady == steadySeconds {
			return second - first - steadySeconds + 1
		}
	}
	return -1
}

func rounded(value float64) float64 { return math.Round(value*1000) / 1000 }
