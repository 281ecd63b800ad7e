package measurespage

import (
	"fmt"

	"flamingoreach/measure/ingressrig"
)

// The targets for the whole policy, in the units of ingressrig.Report.
const (
	singleFaultGoodput = 0.95
	pairedFaultGoodput = 0.85
	worstAccount       = 0.9
	recoverySeconds    = 5
	unservedPerMillion = 1000
	// executionsBound is the largest number of executions, and of deliveries to gates, for a tree of two levels with
	// two extra attempts.
	executionsBound = 6
	// notRecovered is the value of Report.Recovery if the services have not recovered.
	notRecovered = -1
	// policyControl is the name of the control to which the targets apply.
	policyControl = "policy"
	// steadyUnserved is the target for the cases of fullServiceCases.
	steadyUnserved = 0
	// measuredDecimals is the number of decimals of goodput and worst account, as in the reports.
	measuredDecimals = 3
)

// fullServiceCases lists the cases in which no request within its account's rate may be left unserved.
var fullServiceCases = map[string]bool{"steady": true, "storeDown": true}

// missedTargets returns a text for each target that a report misses.
func missedTargets(rep ingressrig.Report, pair bool) []string {
	var misses []string
	check := func(miss bool, format string, args ...any) {
		if miss {
			misses = append(misses, fmt.Sprintf(format, args...))
		}
	}
	goodput, unserved := singleFaultGoodput, float64(unservedPerMillion)
	if pair {
		goodput = pairedFaultGoodput
	}
	if fullServiceCases[rep.Case] {
		unserved = steadyUnserved
	}
	check(rep.Goodput < goodput, "goodput %.*f, at least %.2f", measuredDecimals, rep.Goodput, goodput)
	check(rep.WorstAccount < worstAccount, "worst account %.*f, at least %.2f", measuredDecimals, rep.WorstAccount, worstAccount)
	check(rep.Recovery == notRecovered || rep.Recovery > recoverySeconds, "recovery %s, at most %d s", recovery(rep), recoverySeconds)
	check(rep.UnservedWithinRate > unserved, "unserved within rate %.0f, at most %.0f per million", rep.UnservedWithinRate, unserved)
	check(rep.MostExecutions > executionsBound || rep.MostDeliveries > executionsBound, "executions %d, deliveries %d, at most %d",
		rep.MostExecutions, rep.MostDeliveries, executionsBound)
	return misses
}

func recovery(rep ingressrig.Report) string {
	if rep.Recovery == notRecovered {
		return "none"
	}
	return fmt.Sprintf("%d s", rep.Recovery)
}
