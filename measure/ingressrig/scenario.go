package ingressrig

import (
	"io/fs"
	"math"
	"time"

	"flamingoreach/measure/scenariofile"
	"flamingoreach/measure/tomlduration"
)

// Scenario describes a deployment, its callers and the cases to measure; it is read from a TOML file.
type Scenario struct {
	Name string `toml:"name"`
	// Scale multiplies the slots and the bandwidth of the link, and thereby the demand.
	Scale float64 `toml:"scale"`
	// Front is the first service, to which callers send requests. It calls the second service, Deep, for the fraction
	// DeepFraction of its calls.
	Front        Service `toml:"front"`
	Deep         Service `toml:"deep"`
	DeepFraction float64 `toml:"deepPart"`
	// CallerTimeout is how long a caller waits for one attempt. It makes at most Attempts of them for one request,
	// with RetryPause as the mean time between them.
	CallerTimeout tomlduration.Duration `toml:"patience"`
	Attempts      int                   `toml:"attempts"`
	RetryPause    tomlduration.Duration `toml:"retryPause"`
	// Load is the normal demand as a fraction of the capacity; RateFactor is an account's rate as a multiple of its
	// normal demand.
	Load       float64 `toml:"load"`
	RateFactor float64 `toml:"rateFactor"`
	// LinkBits is the bandwidth of the link between the regions in each direction, in bits per second; MessageBytes
	// is the size of a call and AnswerBytes that of its answer.
	LinkBits     float64      `toml:"linkBitsPerSecond"`
	MessageBytes int          `toml:"messageBytes"`
	AnswerBytes  int          `toml:"answerBytes"`
	DataCentres  []DataCentre `toml:"dataCentres"`
	Accounts     []Account    `toml:"accounts"`
	Priorities   []Priority   `toml:"priorities"`
	// Before, During and After are the lengths of the parts of a run; the trigger of a case lasts for During.
	Before tomlduration.Duration `toml:"before"`
	During tomlduration.Duration `toml:"during"`
	After  tomlduration.Duration `toml:"after"`
	Cases  []Case                `toml:"cases"`
}

// Service describes a service; each data centre has one of its backend servers.
type Service struct {
	Name string `toml:"name"`
	// Slots is the number of slots that each backend server announces. A call that starts when n calls run, itself
	// included, has (n/Slots)^ContentionExponent times its service time if n is above Slots.
	Slots              int                   `toml:"slots"`
	ContentionExponent float64               `toml:"crowding"`
	ServiceTime        tomlduration.Duration `toml:"serviceTime"`
}

// DataCentre is a data centre with the fraction of the demand that arrives there.
type DataCentre struct {
	Name           string  `toml:"name"`
	Region         string  `toml:"region"`
	DemandFraction float64 `toml:"part"`
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
	Idempotent     bool    `toml:"idempotent"`
}

// Case is one fault or overload, or several together. They apply during the trigger, which lasts from Before to Before
// plus During, counted from the start of the run.
type Case struct {
	Name string `toml:"name"`
	// Pair says that the case combines two faults; lower targets apply.
	Pair bool `toml:"pair"`
	// Surge multiplies the demand of all accounts. If Flood is above 0, the first account sends Flood times its rate.
	Surge float64 `toml:"surge"`
	Flood float64 `toml:"flood"`
	// Slow multiplies the service time of the second service.
	Slow float64 `toml:"slow"`
	// Cold multiplies the service time of one backend server of the first service; it falls linearly to 1 during the
	// trigger.
	Cold float64 `toml:"cold"`
	// Partition makes the link between the regions lose all messages.
	Partition bool `toml:"cut"`
	// StoreDown says that the platform's store is unavailable. The rig does not use it, as no call depends on the store.
	StoreDown bool `toml:"storeDown"`
	// Crashes is the number of different requests that crash each backend server that runs them.
	Crashes int `toml:"crashes"`
}

// LoadScenario reads a scenario from a TOML file; errors contain the file's name.
func LoadScenario(files fs.FS, file string) (Scenario, error) {
	return scenariofile.Load[Scenario](files, file)
}

func (sce Scenario) slots(ser Service) int {
	return max(1, int(math.Round(float64(ser.Slots)*sce.Scale)))
}

// totalSlots returns the slots of a service in all data centres.
func (sce Scenario) totalSlots(ser Service) float64 {
	return float64(sce.slots(ser) * len(sce.DataCentres))
}

func (sce Scenario) duringTrigger(at time.Duration) bool {
	return at >= sce.Before.Duration && at < sce.Before.Duration+sce.During.Duration
}

// demand returns an account's requests per second; at counts from the start of the run.
func (sce Scenario) demand(cas Case, account int, at time.Duration) float64 {
	rate := sce.normalDemand(account)
	if !sce.duringTrigger(at) {
		return rate
	}
	if account == 0 && cas.Flood > 0 {
		return sce.accountRate(account) * cas.Flood
	}
	return rate * max(cas.Surge, 1)
}

func (sce Scenario) normalDemand(account int) float64 {
	return sce.Load * sce.mixCapacity(Case{}, 0) * sce.Accounts[account].DemandFraction
}

// accountRate returns an account's rate in requests per second.
func (sce Scenario) accountRate(account int) float64 {
	return sce.RateFactor * sce.normalDemand(account)
}

// mixCapacity returns the requests per second that both services can serve if the fraction DeepFraction of them makes
// a deeper call.
func (sce Scenario) mixCapacity(cas Case, at time.Duration) float64 {
	shallow, deep := sce.slotTimes(cas, at)
	mean := shallow + sce.DeepFraction*(deep-shallow)
	return min(sce.effectiveFrontSlots(cas, at)/mean, sce.deepCapacity(cas, at)/sce.DeepFraction)
}

// slotTimes returns how long a request occupies a slot of the first service, without and with a deeper call.
func (sce Scenario) slotTimes(cas Case, at time.Duration) (shallow, deep float64) {
	shallow = sce.Front.ServiceTime.Seconds()
	return shallow, shallow + sce.Deep.ServiceTime.Seconds()*sce.deepTimeFactor(cas, at)
}

func (sce Scenario) deepCapacity(cas Case, at time.Duration) float64 {
	return sce.totalSlots(sce.Deep) / (sce.Deep.ServiceTime.Seconds() * sce.deepTimeFactor(cas, at))
}

// effectiveFrontSlots returns the slots of the first service, with those of the cold backend server divided by the
// factor of its service time.
func (sce Scenario) effectiveFrontSlots(cas Case, at time.Duration) float64 {
	own := float64(sce.slots(sce.Front))
	return sce.totalSlots(sce.Front) - own + own/sce.coldFactor(cas, at)
}

func (sce Scenario) deepTimeFactor(cas Case, at time.Duration) float64 {
	if sce.duringTrigger(at) {
		return max(cas.Slow, 1)
	}
	return 1
}

func (sce Scenario) coldFactor(cas Case, at time.Duration) float64 {
	if cas.Cold <= 1 || !sce.duringTrigger(at) {
		return 1
	}
	left := 1 - (at-sce.Before.Duration).Seconds()/sce.During.Seconds()
	return 1 + (cas.Cold-1)*left
}

// maxServed returns the largest number of requests per second that can be served of an offered number per second. It
// serves the mix as offered first, and uses the remaining slots for requests without a deeper call.
func (sce Scenario) maxServed(cas Case, at time.Duration, offered float64) float64 {
	served := min(offered, sce.mixCapacity(cas, at))
	shallow, deep := sce.slotTimes(cas, at)
	left := sce.effectiveFrontSlots(cas, at) - served*(shallow+sce.DeepFraction*(deep-shallow))
	return served + max(0, min((offered-served)*(1-sce.DeepFraction), left/shallow))
}
