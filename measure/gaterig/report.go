package gaterig

import (
	"math"
	"time"

	"flamingoreach/core/gatestats"
	"flamingoreach/measure/fairshare"
)

const (
	// recovered is the share of requests served in a second from which the service counts as recovered.
	recovered = 0.95
	// steadySeconds is how many seconds in a row have to be recovered.
	steadySeconds = 3
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
	// Recovery is the seconds from the trigger's end until the service has recovered, -1 if it has not.
	Recovery int    `json:"recoverySeconds"`
	Executed uint64 `json:"executed"`
	Requests int    `json:"requests"`
}

// tally counts requests by the second in which they began.
type tally struct {
	sce      Scenario
	asked    []int
	served   []int
	top      int
	accounts []int
	// askedTop and servedTop count the highest priority while the trigger lasts.
	askedTop, servedTop int
	// wanted counts each account's requests while the trigger lasts.
	wanted []int
}

func newTally(sce Scenario) tally {
	seconds := int((sce.Before.Duration+sce.During.Duration+sce.After.Duration)/time.Second) + 1
	tal := tally{
		sce: sce, asked: make([]int, seconds), served: make([]int, seconds),
		accounts: make([]int, len(sce.Accounts)), wanted: make([]int, len(sce.Accounts)),
	}
	for _, pri := range sce.Priorities {
		tal.top = max(tal.top, pri.Value)
	}
	return tal
}

func (tal *tally) count(req request, served bool) {
	one := 0
	if served {
		one = 1
	}
	second := int(req.began / time.Second)
	tal.asked[second]++
	tal.served[second] += one
	if !tal.sce.triggered(req.began) {
		return
	}
	tal.wanted[req.account]++
	tal.accounts[req.account] += one
	if req.priority == tal.top {
		tal.askedTop++
		tal.servedTop += one
	}
}

func (tal *tally) report(sce Scenario, cas Case, sta gatestats.Stats) Report {
	requests := 0
	for _, count := range tal.asked {
		requests += count
	}
	return Report{
		Goodput:      rounded(tal.goodput(cas)),
		TopServed:    rounded(float64(tal.servedTop) / float64(max(tal.askedTop, 1))),
		WorstAccount: rounded(fairshare.Worst(tal.possible(cas), tal.wanted, tal.accounts, tal.part)),
		Recovery:     tal.recovery(sce),
		Executed:     sta.Executed,
		Requests:     requests,
	}
}

// possible returns the requests that the backend server could serve while the trigger lasts.
func (tal *tally) possible(cas Case) float64 {
	possible := 0.0
	for second := range tal.asked {
		at := time.Duration(second) * time.Second
		if tal.sce.triggered(at) {
			possible += min(float64(tal.asked[second]), tal.sce.capacity(cas, at))
		}
	}
	return possible
}

func (tal *tally) goodput(cas Case) float64 {
	served := 0
	for _, count := range tal.accounts {
		served += count
	}
	return float64(served) / tal.possible(cas)
}

func (tal *tally) part(account int) float64 { return tal.sce.Accounts[account].Part }

// recovery returns the seconds after the trigger from which steadySeconds in a row are recovered.
func (tal *tally) recovery(sce Scenario) int {
	first := int((sce.Before.Duration + sce.During.Duration) / time.Second)
	steady := 0
	for second := first; second < len(tal.asked)-1; second++ {
		steady++
		if float64(tal.served[second]) < recovered*float64(tal.asked[second]) {
			steady = 0
		}
		if steady == steadySeconds {
			return second - first - steadySeconds + 1
		}
	}
	return -1
}

func rounded(value float64) float64 { return math.Round(value*1000) / 1000 }
