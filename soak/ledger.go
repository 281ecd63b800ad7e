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

	// drainTime is how long a backend server may still receive requests after its node has confirmed the drain.
	drainTime = 2 * time.Second
)

// Violation is one violation of a guarantee.
type Violation struct {
	Guarantee string
	Detail    string
}

// String returns the guarantee and what was observed.
func (vio Violation) String() string { return vio.Guarantee + ": " + vio.Detail }

// ledger records what backend servers executed and what callers were answered.
type ledger struct {
	mut        sync.Mutex
	executions map[string]int
	// services holds the service at which each request ran last.
	services         map[string]string
	answers          map[string]callerAnswer
	greedyExecutions []time.Time
	// notRun holds the requests of pipelined clients behind an answer that ended their connection.
	notRun []string
	// crashes holds the times at which each crashing request ran, by its path.
	crashes    map[string][]time.Time
	violations []Violation
	// requests counts the requests that have ended since the last call of takeCounts, and served those that succeeded.
	// Requests of the greedy account are not counted.
	served   int
	requests int
}

// callerAnswer is the result of one request. The status is 0 if the caller got no answer.
type callerAnswer struct {
	status     int
	idempotent bool
	// greedy says that the account sends more than its rate allows, so that refusals are correct; awaitService ignores its
	// answers.
	greedy bool
}

func newLedger() *ledger {
	return &ledger{executions: map[string]int{}, services: map[string]string{}, answers: map[string]callerAnswer{}, crashes: map[string][]time.Time{}}
}

func (led *ledger) addViolation(guarantee, format string, args ...any) {
	led.mut.Lock()
	defer led.mut.Unlock()
	led.violations = append(led.violations, Violation{Guarantee: guarantee, Detail: fmt.Sprintf(format, args...)})
}

// recordExecution records an execution at a backend server and checks the drain time, the credential and the account
// that came with it.
func (led *ledger) recordExecution(exe standin.Execution) {
	if exe.SinceDrainConfirmed > drainTime {
		led.addViolation("drain", "%s reached a backend server %s after its leaving was confirmed", exe.ID, exe.SinceDrainConfirmed)
	}
	if exe.Credential != "" {
		led.addViolation("no key", "%s came with a key", exe.ID)
	}
	greedy := strings.HasPrefix(exe.ID, greedyName)
	if greedy != (exe.Account == greedyName) || !greedy && exe.Account != accountName {
		led.addViolation("account", "%s came for %q", exe.ID, exe.Account)
	}
	led.mut.Lock()
	defer led.mut.Unlock()
	led.executions[exe.ID]++
	led.services[exe.ID] = exe.Service
	if strings.HasPrefix(exe.ID, crashPath) {
		led.crashes[exe.Path] = append(led.crashes[exe.Path], time.Now())
	}
	if greedy {
		led.greedyExecutions = append(led.greedyExecutions, time.Now())
	}
}

func (led *ledger) recordAnswer(id string, answer callerAnswer) {
	led.mut.Lock()
	defer led.mut.Unlock()
	if !answer.greedy {
		led.requests++
		if answer.status == statusOK {
			led.served++
		}
	}
	led.answers[id] = answer
}

// recordNotRun records that a node has told that a request has not run.
func (led *ledger) recordNotRun(id string) {
	led.mut.Lock()
	defer led.mut.Unlock()
	led.notRun = append(led.notRun, id)
}

// service returns the service at which a request ran last.
func (led *ledger) service(id string) string {
	led.mut.Lock()
	defer led.mut.Unlock()
	return led.services[id]
}

// takeCounts returns how many requests have ended and how many of them succeeded since the last call of takeCounts,
// without those of the greedy account.
func (led *ledger) takeCounts() (requests, served int) {
	led.mut.Lock()
	defer led.mut.Unlock()
	requests, served = led.requests, led.served
	led.requests, led.served = 0, 0
	return requests, served
}

// check compares executions with answers. It is called after all clients have ended.
func (led *ledger) check() []Violation {
	led.mut.Lock()
	defer led.mut.Unlock()
	for id, answer := range led.answers {
		executions := led.executions[id]
		switch {
		case !answer.idempotent && executions > 1:
			led.violations = append(led.violations, Violation{"at most once", fmt.Sprintf("%s ran %d times", id, executions)})
		case !answer.idempotent && executions > 0 && (answer.status == statusTooMany || answer.status == statusUnavailable):
			led.violations = append(led.violations, Violation{"not run", fmt.Sprintf("%s was answered %d and ran", id, answer.status)})
		case answer.status == statusOK && executions == 0:
			led.violations = append(led.violations, Violation{"own answer", id + " was served and did not run"})
		}
	}
	for _, id := range led.notRun {
		if led.executions[id] > 0 {
			led.violations = append(led.violations, Violation{"not run", id + " ran and was behind an answer that ended its connection"})
		}
	}
	led.checkRate()
	led.checkCrashes()
	return led.violations
}
