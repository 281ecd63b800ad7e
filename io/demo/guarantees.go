package demo

import (
	"context"
	"fmt"
	"slices"
	"strings"
)

// checkGuarantees fills in the measurements of the summary and lists the violated guarantees.
func (dem *Demo) checkGuarantees(ctx context.Context) error {
	return dem.thread.Do(ctx, "demo.judged", func() {
		dem.measure()
		dem.summary.Violations = []string{}
		res := dem.summary.Load
		dem.checkWithdrawnKey()
		dem.addViolation(res.Duplicates, "requests ran more often than once")
		dem.addViolation(res.Mismatched+res.ReusedCallIDs, "answers were not whole or of another request")
		dem.addViolation(res.FalseNotRun, `requests ran although their refusal said "not run"`)
		dem.addViolation(res.RecordsFailed, "backend servers' records are not complete, so nothing is proved by them")
		dem.addViolation(dem.timeline.AnswersLost, "requests were cut off")
		dem.addViolation(dem.countServersWithKey(), "backend servers saw a key")
		dem.checkRates()
	})
}

func (dem *Demo) addViolation(count int, text string) {
	if count > 0 {
		dem.summary.Violations = append(dem.summary.Violations, fmt.Sprintf("%d %s", count, text))
	}
}

func (dem *Demo) measure() {
	sum, res := &dem.summary, dem.summary.Load
	sum.Goodput = res.Goodput
	sum.Recovery, sum.Recovered = dem.timeline.Recovery(surgeAt+surgeLength, withdrawAt)
	sum.WrongfulRefusals = dem.timeline.WrongfulRefusals
	sum.WorstServedFraction = 1
	for _, acc := range accounts {
		cou := res.Accounts[acc.name]
		if dem.timeline.Steady[acc.name] {
			sum.WithinRate += cou.WithinRate
		}
		if cou.WithinRate == 0 {
			continue
		}
		fraction := min(1, float64(cou.Complete)/float64(cou.WithinRate))
		if sum.WorstServed == "" || fraction < sum.WorstServedFraction {
			sum.WorstServed, sum.WorstServedFraction = acc.name, fraction
		}
	}
	if last := dem.timeline.LastCompleteSent(withdrawnKeyAccount); !dem.withdrawnAt.IsZero() && last.After(dem.withdrawnAt) {
		sum.WithdrawnKeyUse = last.Sub(dem.withdrawnAt)
	}
}

func (dem *Demo) checkWithdrawnKey() {
	if dem.summary.WithdrawnKeyUse > maxWithdrawnKeyUse {
		dem.summary.Violations = append(dem.summary.Violations, fmt.Sprintf("a withdrawn key worked for %s", dem.summary.WithdrawnKeyUse))
	}
}

// checkRates compares the requests that were executed in any interval with the rate and burst of each account.
func (dem *Demo) checkRates() {
	for _, acc := range accounts {
		names := []string{acc.name}
		if acc.name == accounts[1].name {
			names = append(names, withdrawnKeyAccount)
		}
		if excess := dem.timeline.Excess(acc.rate, acc.burst, names...); excess > 0 {
			dem.summary.Violations = append(dem.summary.Violations, fmt.Sprintf("%s ran %.1f requests above its rate and burst", acc.name, excess))
		}
	}
}

// countServersWithKey returns the number of backend servers that received the key of any account.
func (dem *Demo) countServersWithKey() int {
	seen := 0
	for _, bas := range dem.fleet.BackendServers {
		texts := strings.Join(bas.Record().Texts, "\n")
		shows := func(acc grantedAccount) bool {
			return slices.ContainsFunc(acc.keys, func(key string) bool { return strings.Contains(texts, key) })
		}
		if slices.ContainsFunc(accounts, shows) {
			seen++
		}
	}
	return seen
}
