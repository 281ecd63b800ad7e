package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"flamingoreach/platform/standin"
)

const (
	statusOK          = http.StatusOK
	statusTooMany     = http.StatusTooManyRequests
	statusUnavailable = http.StatusServiceUnavailable

	// drainTime is how long a backend server may still get requests after its leaving was confirmed.
	drainTime = 2 * time.Second
)

// Violation is one broken promise.
type Violation struct {
	Promise string
	Detail  string
}

// String returns the promise and what was seen.
func (vio Violation) String() string { return vio.Promise + ": " + vio.Detail }

// ledger holds what backend servers ran and what callers were told.
type ledger struct {
	mut  sync.Mutex
	runs map[string]int
	// services holds where a request ran last.
	services   map[string]string
	told       map[string]answerTold
	greedyRuns []time.Time
	violations []Violation
	served     int
	asked      int
}

// answerTold is the answer to one request.
type answerTold struct {
	status     int
	idempotent bool
	// greedy says that the account asks for more than its rate, so that refusals are right.
	greedy bool
}

func newLedger() *ledger {
	return &ledger{runs: map[string]int{}, services: map[string]string{}, told: map[string]answerTold{}}
}

func (led *ledger) violate(promise, format string, args ...any) {
	led.mut.Lock()
	defer led.mut.Unlock()
	led.violations = append(led.violations, Violation{Promise: promise, Detail: fmt.Sprintf(format, args...)})
}

// ran notes a run at a backend server and checks what came with it.
func (led *ledger) ran(see standin.Execution) {
	if see.SinceDrainConfirmed > drainTime {
		led.violate("drain", "%s reached a backend server %s after its leaving was confirmed", see.ID, see.SinceDrainConfirmed)
	}
	if see.Credential != "" {
		led.violate("no key", "%s came with a key", see.ID)
	}
	greedy := strings.HasPrefix(see.ID, greedyName)
	if greedy != (see.Account == greedyName) || !greedy && see.Account != accountName {
		led.violate("account", "%s came for %q", see.ID, see.Account)
	}
	led.mut.Lock()
	defer led.mut.Unlock()
	led.runs[see.ID]++
	led.services[see.ID] = see.Service
	if greedy {
		led.greedyRuns = append(led.greedyRuns, time.Now())
	}
}

func (led *ledger) answered(id string, told answerTold) {
	led.mut.Lock()
	defer led.mut.Unlock()
	if !told.greedy {
		led.asked++
		if told.status == statusOK {
			led.served++
		}
	}
	led.told[id] = told
}

// service returns the service at which a request ran last.
func (led *ledger) service(id string) string {
	led.mut.Lock()
	defer led.mut.Unlock()
	return led.services[id]
}

// counts returns the requests asked and served since the last call.
func (led *ledger) counts() (asked, served int) {
	led.mut.Lock()
	defer led.mut.Unlock()
	asked, served = led.asked, led.served
	led.asked, led.served = 0, 0
	return asked, served
}

// check compares what ran with what was told, once all is over.
func (led *ledger) check() []Violation {
	led.mut.Lock()
	defer led.mut.Unlock()
	for id, told := range led.told {
		runs := led.runs[id]
		switch {
		case !told.idempotent && runs > 1:
			led.violations = append(led.violations, Violation{"at most once", fmt.Sprintf("%s ran %d times", id, runs)})
		case !told.idempotent && runs > 0 && (told.status == statusTooMany || told.status == statusUnavailable):
			led.violations = append(led.violations, Violation{"not run", fmt.Sprintf("%s was told %d and ran", id, told.status)})
		case told.status == statusOK && runs == 0:
			led.violations = append(led.violations, Violation{"own answer", id + " was served and did not run"})
		}
	}
	led.checkRate()
	return led.violations
}
