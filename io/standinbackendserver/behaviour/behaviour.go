package behaviour

import (
	"time"

	"github.com/rotisserie/eris"
)

// Behaviour holds the settings in force; durations are in nanoseconds in JSON.
type Behaviour struct {
	// Slots is the number of requests that run concurrently; it cannot change after the stand-in has started.
	Slots int `json:"slots"`
	// QueueLength bounds the requests that wait for a slot; further ones are shed.
	QueueLength int `json:"queueLength"`
	// ServiceTime is the minimum duration of a request; an exponentially distributed time with the mean ServiceSpread is
	// added to it.
	ServiceTime   time.Duration `json:"serviceTime"`
	ServiceSpread time.Duration `json:"serviceSpread"`
	// Seed initialises the random generator of service times, so that the sequence of times is reproducible.
	Seed uint64 `json:"seed"`
	// ColdTime is the time after the start during which service times are multiplied by ColdFactor.
	ColdTime   time.Duration `json:"coldTime"`
	ColdFactor float64       `json:"coldFactor"`
	// DrainGrace is the time during which Close still accepts requests after the attempt to announce the drain to the
	// node.
	DrainGrace time.Duration `json:"drainGrace"`
	// Shed refuses every request without running it.
	Shed bool `json:"shed"`
	// ReportLag is the age of the state and load that the endpoints /health and /load return.
	ReportLag time.Duration `json:"reportLag"`
	// FalseHealth, if set, replaces the state that /health returns.
	FalseHealth string `json:"falseHealth,omitempty"`
	// FalseLoad, if set, replaces the load that /load returns, a fraction of the slots.
	FalseLoad *float64 `json:"falseLoad,omitempty"`
}

// Check fails with the first setting that is out of bounds.
func (beh Behaviour) Check() error {
	switch {
	case beh.Slots < 1:
		return eris.New("behaviour: slots must be at least 1")
	case beh.QueueLength < 0:
		return eris.New("behaviour: queueLength must not be negative")
	case min(beh.ServiceTime, beh.ServiceSpread, beh.ColdTime, beh.DrainGrace, beh.ReportLag) < 0:
		return eris.New("behaviour: no duration may be negative")
	case beh.ColdTime > 0 && beh.ColdFactor < 1:
		return eris.New("behaviour: coldFactor must be at least 1")
	}
	return nil
}
