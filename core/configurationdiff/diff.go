package configurationdiff

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"flamingoreach/core/clientaccount"
	"flamingoreach/core/configuration"
	"flamingoreach/core/route"
)

// Diff is one difference between two configurations; keys appear by their short ID.
type Diff struct {
	// Field names the entry and field, such as "clientAccount bank-a rate".
	Field string `json:"field"`
	// Old or New is empty if the entry is absent from that configuration.
	Old string `json:"old"`
	New string `json:"new"`
}

// String returns the difference in one line.
func (dif Diff) String() string {
	switch {
	case dif.Old == "":
		return fmt.Sprintf("+ %s %s", dif.Field, dif.New)
	case dif.New == "":
		return fmt.Sprintf("- %s %s", dif.Field, dif.Old)
	default:
		return fmt.Sprintf("~ %s %s -> %s", dif.Field, dif.Old, dif.New)
	}
}

// Between returns the differences from the old to the new configuration, ordered by field. It compares the fields that
// a configuration file can set.
func Between(old, next *configuration.Configuration) []Diff {
	before, after := fields(old), fields(next)
	var diffs []Diff
	for field, value := range before {
		if after[field] != value {
			diffs = append(diffs, Diff{Field: field, Old: value, New: after[field]})
		}
	}
	for field, value := range after {
		if _, known := before[field]; !known {
			diffs = append(diffs, Diff{Field: field, New: value})
		}
	}
	slices.SortFunc(diffs, func(one, other Diff) int { return cmp.Compare(one.Field, other.Field) })
	return diffs
}

// fields lists the fields that a configuration file can set by their names; no value is empty. Fields that come only
// from the platform's store, such as a route's Host, are left out.
func fields(cfg *configuration.Configuration) map[string]string {
	list := map[string]string{}
	set := func(field string, value any) { list[field] = fmt.Sprint(value) }
	set("policy retryAllowance", cfg.RetryAllowance)
	set("policy retryBudgetRatio", cfg.RetryBudgetRatio)
	set("policy queueWait", cfg.QueueWait)
	set("policy queueLength", cfg.QueueLength)
	set("policy quarantineTime", cfg.QuarantineTime)
	set("policy cutHold", cfg.CutHold)
	if cfg.CutHold == 0 {
		set("policy cutHold", "never")
	}
	set("policy mechanismsOff", cfg.Off)
	for index := range cfg.Routes {
		routeFields(&cfg.Routes[index], set)
	}
	for index := range cfg.Accounts {
		accountFields(&cfg.Accounts[index], set)
	}
	return list
}

func routeFields(rou *route.Route, set func(string, any)) {
	name := "route " + rou.Name + " "
	set(name+"service", rou.Service)
	set(name+"match", strings.TrimSpace(rou.Method+" "+rou.PathPrefix))
	set(name+"priority", rou.Priority)
	set(name+"idempotent", rou.Idempotent)
	set(name+"open", rou.Open)
	set(name+"timeout", rou.Timeout)
}

func accountFields(acc *clientaccount.ClientAccount, set func(string, any)) {
	name := "clientAccount " + acc.Name + " "
	set(name+"rate", acc.Rate)
	set(name+"burst", acc.Burst)
	set(name+"weight", acc.Weight)
	set(name+"priorityBoost", acc.PriorityBoost)
	for _, has := range acc.Keys {
		set(name+"key "+has.ID(), "valid")
	}
}
