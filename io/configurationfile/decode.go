package configurationfile

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"flamingoreach/core/clientaccount"
	"flamingoreach/core/configuration"
	"flamingoreach/core/configurationfault"
	"flamingoreach/core/keyhash"
	"flamingoreach/core/mechanism"
	"flamingoreach/core/route"
)

// Decode parses the text of a configuration file, whose name is used in errors. If the file has faults, it fails with an *Error that
// lists all of them.
func Decode(name string, text []byte) (configuration.Configuration, error) {
	var values map[string]any
	if err := toml.Unmarshal(text, &values); err != nil {
		return configuration.Configuration{}, syntaxError(name, err)
	}
	rea := &reader{positions: newPositions(text)}
	cfg := rea.configuration(&table{reader: rea, values: values})
	reported := map[string]bool{}
	for _, fau := range rea.faults {
		reported[fau.Field] = true
	}
	for _, fau := range cfg.Validate() {
		if !reported[fau.Field] {
			rea.fault(fau.Field, "%s", fau.Problem)
		}
	}
	if len(rea.faults) > 0 {
		slices.SortStableFunc(rea.faults, compareFaults)
		return configuration.Configuration{}, &Error{File: name, Faults: rea.faults}
	}
	return cfg, nil
}

func compareFaults(a, b configurationfault.Fault) int {
	if a.Line != b.Line {
		return a.Line - b.Line
	}
	return strings.Compare(a.Field, b.Field)
}

func syntaxError(name string, err error) error {
	var dec *toml.DecodeError
	if !errors.As(err, &dec) {
		return eris.Wrapf(err, "decode configuration file %s", name)
	}
	line, _ := dec.Position()
	fau := configurationfault.Fault{Line: line, Field: strings.Join(dec.Key(), "."), Problem: dec.Error()}
	return &Error{File: name, Faults: []configurationfault.Fault{fau}}
}

func (rea *reader) configuration(tab *table) configuration.Configuration {
	cfg := configuration.Default()
	cfg.Version = tab.unsigned("version")
	cfg.PatchID = tab.text("patchId", false)
	rea.policy(tab.table("policy"), &cfg)
	for _, entry := range tab.tables("routes") {
		cfg.Routes = append(cfg.Routes, rea.route(entry))
	}
	for _, entry := range tab.tables("clientAccounts") {
		cfg.Accounts = append(cfg.Accounts, rea.account(entry))
	}
	tab.reportUnknown()
	return cfg
}

func (rea *reader) policy(tab *table, cfg *configuration.Configuration) {
	cfg.RetryAllowance = tab.integer("retryAllowance", false, cfg.RetryAllowance)
	cfg.RetryBudgetRatio = tab.number("retryBudgetRatio", false, cfg.RetryBudgetRatio)
	cfg.QueueWait = tab.duration("queueWait", false, cfg.QueueWait, "")
	cfg.QueueLength = tab.integer("queueLength", false, cfg.QueueLength)
	cfg.QuarantineTime = tab.duration("quarantineTime", false, cfg.QuarantineTime, "")
	cfg.CutHold = tab.duration("cutHold", false, cfg.CutHold, never)
	for _, text := range tab.texts("mechanismsOff") {
		cfg.Off = append(cfg.Off, mechanism.Mechanism(text))
	}
	tab.reportUnknown()
}

func (rea *reader) route(tab *table) route.Route {
	rou := route.Route{
		Name:       tab.text("name", true),
		Service:    tab.text("service", true),
		Method:     tab.text("method", false),
		PathPrefix: tab.text("pathPrefix", true),
		Priority:   tab.integer("priority", true, 0),
		Idempotent: tab.flag("idempotent"),
		Open:       tab.flag("open"),
		Timeout:    tab.duration("timeout", true, 0, ""),
	}
	tab.reportUnknown()
	return rou
}

func (rea *reader) account(tab *table) clientaccount.ClientAccount {
	acc := clientaccount.ClientAccount{
		Name:          tab.text("name", true),
		Rate:          tab.number("rate", true, 0),
		Burst:         tab.number("burst", true, 0),
		Weight:        tab.number("weight", false, 1),
		PriorityBoost: tab.integer("priorityBoost", false, 0),
	}
	for index, text := range tab.texts("keys") {
		var has keyhash.Hash
		if err := has.UnmarshalText([]byte(text)); err != nil {
			rea.fault(fmt.Sprintf("%s.keys[%d]", tab.path, index), "want the SHA-256 of a key as 64 hexadecimal digits")
			continue
		}
		acc.Keys = append(acc.Keys, has)
	}
	tab.reportUnknown()
	return acc
}
