package sharesettings

import (
	"bytes"
	"os"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"flamingoreach/measure/tomlduration"
)

// ShareSettings describes one run of the share rig.
type ShareSettings struct {
	Name string `toml:"name"`
	Seed uint64 `toml:"seed"`
	// Length is the simulated time of the run. WarmUp is the time at its start; calls that end in it count only for the
	// excess over rate and burst.
	Length tomlduration.Duration `toml:"length"`
	WarmUp tomlduration.Duration `toml:"warmUp"`
	// MoveEvery is the time after which the traffic is distributed anew over nodes and data centres; 0 means never.
	MoveEvery tomlduration.Duration `toml:"moveEvery"`
	// SurgeEvery is the time after which accounts with a load above 1 switch between that load and a low load;
	// 0 means that the load is constant.
	SurgeEvery tomlduration.Duration `toml:"surgeEvery"`
	// Wait bounds the time that a call waits for a token.
	Wait        tomlduration.Duration `toml:"wait"`
	DataCentres []dataCentre          `toml:"dataCentres"`
	Accounts    []account             `toml:"accounts"`
}

type dataCentre struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
	Nodes  int    `toml:"nodes"`
}

type account struct {
	Name string `toml:"name"`
	// Rate is in calls per second, Burst in calls; Load is the offered traffic as a multiple of the rate.
	Rate  float64 `toml:"rate"`
	Burst float64 `toml:"burst"`
	Load  float64 `toml:"load"`
}

// Read reads settings from a TOML file and fails on unknown keys.
func Read(file string) (ShareSettings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return ShareSettings{}, eris.Wrapf(err, "read settings %s", file)
	}
	var set ShareSettings
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&set); err != nil {
		return ShareSettings{}, eris.Wrapf(err, "decode settings %s", file)
	}
	return set, nil
}

// AddDataCentre adds a data centre with a number of nodes.
func (set *ShareSettings) AddDataCentre(name, region string, nodes int) {
	set.DataCentres = append(set.DataCentres, dataCentre{Name: name, Region: region, Nodes: nodes})
}

// AddAccount adds an account with its rate in calls per second, its burst in calls and its load as a multiple of the rate.
func (set *ShareSettings) AddAccount(name string, rate, burst, load float64) {
	set.Accounts = append(set.Accounts, account{Name: name, Rate: rate, Burst: burst, Load: load})
}
