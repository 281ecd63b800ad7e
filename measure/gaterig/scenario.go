package gaterig

import (
	"io/fs"
	"time"

	"flamingoreach/measure/scenariofile"
	"flamingoreach/measure/tomlduration"

	"flamingoreach/core/gatepolicy"
)

// Scenario describes a service, its callers and the cases to measure; it is read from a TOML file.
type Scenario struct {
	Name string `toml:"name"`
	// Slots is the number of slots that the backend server announces. Knee is the number of running calls above which
	// calls slow each other.
	Slots int `toml:"slots"`
	Knee  int `toml:"knee"`
	// ContentionExponent is the exponent by which running calls slow each other. A call that starts when n calls run,
	// itself included, has (n/Knee)^ContentionExponent times its service time if n is above Knee. With an exponent
	// above 1 the throughput falls as n grows.
	ContentionExponent float64 `toml:"crowding"`
	// ServiceTime is the mean execution time of a call without overload.
	ServiceTime tomlduration.Duration `toml:"serviceTime"`
	// CallerTimeout is how long a caller waits for one attempt.
	CallerTimeout tomlduration.Duration `toml:"patience"`
	// Attempts bounds the attempts of one request; RetryPause is the mean time between two of them.
	Attempts   int                   `toml:"attempts"`
	RetryPause tomlduration.Duration `toml:"retryPause"`
	// Load is the normal demand as a fraction of the capacity.
	Load float64 `toml:"load"`
	// QueueLength bounds the number of calls that wait at the gate, QueueWait the time that each of them waits.
	QueueLength int                   `toml:"queueLength"`
	QueueWait   tomlduration.Duration `toml:"queueWait"`
	Accounts    []Account             `toml:"accounts"`
	Priorities  []Priority            `toml:"priorities"`
	// Before, During and After are the lengths of the parts of a run; the trigger of a case lasts for During.
	Before tomlduration.Duration `toml:"before"`
	During tomlduration.Duration `toml:"during"`
	After  tomlduration.Duration `toml:"after"`
	Cases  []Case                `toml:"cases"`
}

// Account is a client account with its fraction of the normal demand, which is also its weight in the fair queue.
type Account struct {
	Name           string  `toml:"name"`
	DemandFraction float64 `toml:"part"`
}

// Priority is a priority with its fraction of every account's demand.
type Priority struct {
	Value          int     `toml:"value"`
	DemandFraction float64 `toml:"part"`
}

// Case is one cause of overload. The trigger lasts from Before to Before plus During, counted from the start of the
// run; the fields apply then, unless stated otherwise.
type Case struct {
	Name string `toml:"name"`
	// Surge multiplies the demand of all accounts, Flood that of the first account only.
	Surge float64 `toml:"surge"`
	Flood float64 `toml:"flood"`
	// Slowdown multiplies the service time, as a slow dependency of the service would.
	Slowdown float64 `toml:"slowdown"`
	// Cold is the factor of the service time at the start of the run; it falls linearly to 1 at the trigger's end.
	Cold float64 `toml:"cold"`
	// Knee, if above 0, multiplies the scenario's knee for the whole run. Below 1 the server announces more slots
	// than it can use without slowing down.
	Knee float64 `toml:"knee"`
}

// LoadScenario reads a scenario from a TOML file; errors contain the file's name.
func LoadScenario(files fs.FS, file string) (Scenario, error) {
	return scenariofile.Load[Scenario](files, file)
}

// capacity returns the calls per second that the backend server can complete; at counts from the start of the run.
func (sce Scenario) capacity(cas Case, at time.Duration) float64 {
	return sce.knee(cas) / (sce.ServiceTime.Seconds() * sce.serviceTimeFactor(cas, at))
}

func (sce Scenario) knee(cas Case) float64 {
	if cas.Knee > 0 {
		return cas.Knee * float64(sce.Knee)
	}
	return float64(sce.Knee)
}

// demand returns an account's requests per second; at counts from the start of the run.
func (sce Scenario) demand(cas Case, account int, at time.Duration) float64 {
	rate := sce.Load * sce.knee(cas) / sce.ServiceTime.Seconds() * sce.Accounts[account].DemandFraction
	if !sce.duringTrigger(at) {
		return rate
	}
	if account == 0 {
		rate *= max(cas.Flood, 1)
	}
	return rate * max(cas.Surge, 1)
}

// serviceTimeFactor returns the factor of the service time that is due to the case, without contention among calls.
func (sce Scenario) serviceTimeFactor(cas Case, at time.Duration) float64 {
	if cas.Cold > 1 {
		left := 1 - at.Seconds()/(sce.Before.Duration+sce.During.Duration).Seconds()
		return 1 + (cas.Cold-1)*max(left, 0)
	}
	if sce.duringTrigger(at) {
		return max(cas.Slowdown, 1)
	}
	return 1
}

func (sce Scenario) duringTrigger(at time.Duration) bool {
	return at >= sce.Before.Duration && at < sce.Before.Duration+sce.During.Duration
}

// policy returns the gate's policy for a control.
func (sce Scenario) policy(con Control) gatepolicy.Policy {
	pol := gatepolicy.Policy{
		Slots: sce.Slots, QueueLength: sce.QueueLength, QueueWait: sce.QueueWait.Duration,
		Weights: map[string]float64{}, Off: con.Off,
	}
	for _, acc := range sce.Accounts {
		pol.Weights[acc.Name] = acc.DemandFraction
	}
	if con.Slots > 0 {
		pol.Slots = con.Slots
	}
	if con.QueueLength > 0 {
		pol.QueueLength, pol.QueueWait = con.QueueLength, con.QueueWait
	}
	return pol
}
