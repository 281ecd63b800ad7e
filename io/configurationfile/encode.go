package configurationfile

import (
	"bytes"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"flamingoreach/core/configuration"
	"flamingoreach/core/keyhash"
)

const never = "never"

type file struct {
	Version  uint64        `toml:"version,omitempty"`
	PatchID  string        `toml:"patchId,omitempty"`
	Policy   filePolicy    `toml:"policy"`
	Routes   []fileRoute   `toml:"routes,omitempty"`
	Accounts []fileAccount `toml:"clientAccounts,omitempty"`
}

type filePolicy struct {
	RetryAllowance   int      `toml:"retryAllowance"`
	RetryBudgetRatio float64  `toml:"retryBudgetRatio"`
	QueueWait        string   `toml:"queueWait"`
	QueueLength      int      `toml:"queueLength"`
	QuarantineTime   string   `toml:"quarantineTime"`
	CutHold          string   `toml:"cutHold"`
	MechanismsOff    []string `toml:"mechanismsOff,omitempty"`
}

type fileRoute struct {
	Name       string `toml:"name"`
	Service    string `toml:"service"`
	Method     string `toml:"method,omitempty"`
	PathPrefix string `toml:"pathPrefix"`
	Priority   int    `toml:"priority"`
	Idempotent bool   `toml:"idempotent,omitempty"`
	Open       bool   `toml:"open,omitempty"`
	Timeout    string `toml:"timeout"`
}

type fileAccount struct {
	Name          string         `toml:"name"`
	Rate          float64        `toml:"rate"`
	Burst         float64        `toml:"burst"`
	Weight        float64        `toml:"weight"`
	PriorityBoost int            `toml:"priorityBoost,omitempty"`
	Keys          []keyhash.Hash `toml:"keys,multiline,omitempty"`
}

// Encode returns the TOML text of a configuration. Equal configurations give equal texts. If the configuration is
// invalid, it fails with an *Error that lists all faults. There is no file to name then, so that the message begins
// with "decode configuration file to encode".
func Encode(cfg configuration.Configuration) ([]byte, error) {
	if faults := cfg.Validate(); len(faults) > 0 {
		return nil, &Error{File: "to encode", Faults: faults}
	}
	var text bytes.Buffer
	enc := toml.NewEncoder(&text)
	if err := enc.Encode(toFile(&cfg)); err != nil {
		return nil, eris.Wrap(err, "encode configuration")
	}
	return text.Bytes(), nil
}

func toFile(cfg *configuration.Configuration) file {
	fil := file{Version: cfg.Version, PatchID: cfg.PatchID, Policy: filePolicy{
		RetryAllowance:   cfg.RetryAllowance,
		RetryBudgetRatio: cfg.RetryBudgetRatio,
		QueueWait:        cfg.QueueWait.String(),
		QueueLength:      cfg.QueueLength,
		QuarantineTime:   cfg.QuarantineTime.String(),
		CutHold:          cutHoldText(cfg.CutHold),
	}}
	for _, mec := range cfg.Off {
		fil.Policy.MechanismsOff = append(fil.Policy.MechanismsOff, string(mec))
	}
	for _, rou := range cfg.Routes {
		fil.Routes = append(fil.Routes, fileRoute{
			Name: rou.Name, Service: rou.Service, Method: rou.Method, PathPrefix: rou.PathPrefix,
			Priority: rou.Priority, Idempotent: rou.Idempotent, Open: rou.Open, Timeout: rou.Timeout.String(),
		})
	}
	for _, acc := range cfg.Accounts {
		fil.Accounts = append(fil.Accounts, fileAccount{
			Name: acc.Name, Rate: acc.Rate, Burst: acc.Burst, Weight: acc.Weight,
			PriorityBoost: acc.PriorityBoost, Keys: acc.Keys,
		})
	}
	return fil
}

// cutHoldText returns a cut hold as it is written in a file; 0, which sets no limit, is written as never.
func cutHoldText(hold time.Duration) string {
	if hold == 0 {
		return never
	}
	return hold.String()
}
