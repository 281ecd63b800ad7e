package configuration

import (
	"fmt"
	"math"
	"strings"
	"time"

	"flamingoreach/core/clientaccount"
	"flamingoreach/core/configurationfault"
	"flamingoreach/core/keyhash"
	"flamingoreach/core/mechanism"
	"flamingoreach/core/route"
)

// The bounds of the policy: maxAllowance in extra attempts, maxQueueLength in calls.
const (
	maxAllowance   = 16
	maxQueueLength = 1 << 20
	minCutHold     = 10 * time.Second
	methodLetters  = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
)

// validator collects faults; its maps hold the names, paths and keys of the entries checked so far, with their fields.
type validator struct {
	faults     []configurationfault.Fault
	routeNames map[string]string
	routePaths map[string]string
	accounts   map[string]string
	keys       map[keyhash.Hash]string
}

// Validate returns all faults of the values, in the order of the fields; a valid configuration has none.
func (cfg *Configuration) Validate() []configurationfault.Fault {
	val := &validator{
		routeNames: map[string]string{},
		routePaths: map[string]string{},
		accounts:   map[string]string{},
		keys:       map[keyhash.Hash]string{},
	}
	val.policy(cfg)
	for index := range cfg.Routes {
		val.route(fmt.Sprintf("routes[%d]", index), &cfg.Routes[index])
	}
	for index := range cfg.Accounts {
		val.account(fmt.Sprintf("clientAccounts[%d]", index), &cfg.Accounts[index])
	}
	return val.faults
}

func (val *validator) require(valid bool, field, format string, args ...any) {
	if !valid {
		val.faults = append(val.faults, configurationfault.Fault{Field: field, Problem: fmt.Sprintf(format, args...)})
	}
}

func (val *validator) policy(cfg *Configuration) {
	val.require(cfg.RetryAllowance >= 0 && cfg.RetryAllowance <= maxAllowance, "policy.retryAllowance", "want 0 to %d", maxAllowance)
	val.require(cfg.RetryBudgetRatio >= 0 && cfg.RetryBudgetRatio <= 1, "policy.retryBudgetRatio", "want 0 to 1")
	val.require(cfg.QueueWait > 0, "policy.queueWait", "want more than 0")
	val.require(cfg.QueueLength > 0 && cfg.QueueLength <= maxQueueLength, "policy.queueLength", "want 1 to %d", maxQueueLength)
	val.require(cfg.QuarantineTime >= 0, "policy.quarantineTime", "want 0 or more")
	val.require(cfg.CutHold == 0 || cfg.CutHold >= minCutHold, "policy.cutHold", "want \"never\" or at least %s", minCutHold)
	used := map[mechanism.Mechanism]bool{}
	for index, mec := range cfg.Off {
		field := fmt.Sprintf("policy.mechanismsOff[%d]", index)
		val.require(mec.Known(), field, "%q is not one of %v", mec, mechanism.All())
		val.require(!used[mec], field, "%q is listed twice", mec)
		used[mec] = true
	}
}

func (val *validator) route(field string, rou *route.Route) {
	val.unique(val.routeNames, field+".name", rou.Name)
	val.require(rou.Service != "", field+".service", "want a name")
	val.require(strings.Trim(rou.Method, methodLetters) == "", field+".method", "want capital letters")
	val.require(validPrefix(rou.PathPrefix), field+".pathPrefix", "want a path such as \"/quotes\" without \"//\", query or trailing slash")
	val.require(rou.Timeout > 0, field+".timeout", "want more than 0")
	key := rou.Method + " " + rou.PathPrefix
	other, taken := val.routePaths[key]
	val.require(!taken, field+".pathPrefix", "%s has the same method and path", other)
	val.routePaths[key] = field
}

func validPrefix(prefix string) bool {
	if prefix == "/" {
		return true
	}
	return strings.HasPrefix(prefix, "/") && !strings.HasSuffix(prefix, "/") &&
		!strings.Contains(prefix, "//") && !strings.ContainsAny(prefix, "?# ")
}

func (val *validator) account(field string, acc *clientaccount.ClientAccount) {
	val.unique(val.accounts, field+".name", acc.Name)
	val.require(positive(acc.Rate), field+".rate", "want more than 0 calls per second")
	val.require(positive(acc.Burst) && acc.Burst >= 1, field+".burst", "want at least 1 call")
	val.require(positive(acc.Weight), field+".weight", "want more than 0")
	for index, has := range acc.Keys {
		keyField := fmt.Sprintf("%s.keys[%d]", field, index)
		other, taken := val.keys[has]
		val.require(!taken, keyField, "key %s is also %s", has.ID(), other)
		val.keys[has] = keyField
	}
}

func (val *validator) unique(used map[string]string, field, name string) {
	val.require(name != "", field, "want a name")
	other, taken := used[name]
	val.require(!taken || name == "", field, "%q is also %s", name, other)
	used[name] = field
}

func positive(value float64) bool { return value > 0 && !math.IsInf(value, 0) }
