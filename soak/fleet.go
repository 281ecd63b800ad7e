package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"flamingoreach/platform/standin"
)

const (
	accountName = "bank-a"
	requestHost = "soak.example"
	// ampleRate is the rate and burst of the first account, in calls per second and calls. It exceeds the rate of
	// requests of all callers of the account.
	ampleRate = 5000
)

// services are assigned to the backend servers of the hosts in turn. The moving route changes between them in this order.
var services = [...]string{"quotes", "confirms"}

// Fleet holds the processes and stand-ins of one run.
type Fleet struct {
	number  int
	folder  string
	program string
	store   *standin.Store
	ledger  *ledger
	hosts   []*host
	// restoring is held while the store comes back from an older copy.
	restoring sync.Mutex

	mut     sync.Mutex
	version uint64
	// written is the newest configuration that was written.
	written []byte
	// moves counts the versions that changed the service of the moving route; movedAt is the time at which the last of them
	// was written.
	moves   int
	movedAt time.Time
	// evacuatedAt maps each evacuated data centre to the time at which the store acknowledged its row.
	evacuatedAt map[string]time.Time
	// keys are valid; withdrawnKeys were valid in earlier versions.
	keys          []key
	withdrawnKeys []key
}

// key is a caller's key with the times at which the versions that granted and withdrew it were written; withdrawn is zero
// for a valid key.
type key struct {
	text      string
	granted   time.Time
	withdrawn time.Time
}

// mustBeInForce reports whether a change of the configuration must be in force at a host: it is older than
// configurationDeadline, and no fault that the host records began or ended within that time.
func mustBeInForce(change, now time.Time, hos *host) bool {
	return !change.IsZero() && now.Sub(change) > configurationDeadline && hos.faultFreeFor(configurationDeadline)
}

// newFleet starts the node processes. Number selects their loopback addresses, so that fleets with different numbers can
// run on one machine at the same time.
func newFleet(ctx context.Context, program, folder string, number, size int) (*Fleet, error) {
	fle := &Fleet{
		number: number, folder: folder, program: program, store: standin.NewStore(), ledger: newLedger(), movedAt: time.Now(),
		evacuatedAt: map[string]time.Time{},
		keys:        []key{{text: "key-one-of-bank-a", granted: time.Now()}, {text: "key-two-of-bank-a", granted: time.Now()}},
	}
	fle.writeConfiguration()
	for index := range size {
		hos, err := newHost(ctx, fle, index)
		if err != nil {
			fle.close()
			return nil, err
		}
		fle.hosts = append(fle.hosts, hos)
		if err := hos.start(ctx); err != nil {
			fle.close()
			return nil, err
		}
	}
	return fle, nil
}

func (fle *Fleet) close() {
	for _, hos := range fle.hosts {
		hos.close()
	}
}

// writeConfiguration writes the next version, with the valid keys and the present service of the moving route (see
// doc.go). Version numbers increase with gaps.
func (fle *Fleet) writeConfiguration() {
	fle.version += 1 + fle.version%3
	var keys []string
	for _, valid := range fle.keys {
		keys = append(keys, valid.text)
	}
	fle.written = standin.Configuration(fle.version, requestHost, fle.movingTo(),
		standin.Account{Name: accountName, Keys: keys, Rate: ampleRate, Burst: ampleRate},
		standin.Account{Name: greedyName, Keys: []string{greedyKey}, Rate: greedyRate, Burst: greedyRate})
	fle.store.PutConfiguration(fle.written)
}

// changeConfiguration withdraws a key, grants another one and changes the service of the moving route.
func (fle *Fleet) changeConfiguration() {
	fle.mut.Lock()
	defer fle.mut.Unlock()
	oldest := fle.keys[0]
	fle.keys = append(fle.keys[1:], key{text: fmt.Sprintf("key-of-version-%d", fle.version)})
	fle.moves++
	fle.writeConfiguration()
	now := time.Now()
	fle.movedAt = now
	fle.keys[len(fle.keys)-1].granted = now
	oldest.withdrawn = now
	fle.withdrawnKeys = append(fle.withdrawnKeys, oldest)
}

// key returns the key that a request presents; every withdrawnKeyEvery-th request presents a withdrawn key, if there is
// one.
func (fle *Fleet) key(number int) key {
	fle.mut.Lock()
	defer fle.mut.Unlock()
	if number%withdrawnKeyEvery == 0 && len(fle.withdrawnKeys) > 0 {
		return fle.withdrawnKeys[number%len(fle.withdrawnKeys)]
	}
	return fle.keys[0]
}

// movingRoute returns the service of the moving route and the time since which the route has it.
func (fle *Fleet) movingRoute() (service string, since time.Time) {
	fle.mut.Lock()
	defer fle.mut.Unlock()
	return fle.movingTo(), fle.movedAt
}

func (fle *Fleet) movingTo() string { return services[fle.moves%len(services)] }

// isValid reports whether a key has not been withdrawn.
func (fle *Fleet) isValid(presented key) bool {
	fle.mut.Lock()
	defer fle.mut.Unlock()
	for _, valid := range fle.keys {
		if valid.text == presented.text {
			return true
		}
	}
	return false
}

// awaitService waits until at least servedRatio of the requests that ended within one window succeeded. It fails if
// none of the windows before the timeout had as many, or if the context ends.
func (fle *Fleet) awaitService(ctx context.Context, timeout time.Duration) error {
	const (
		window      = 500 * time.Millisecond
		servedRatio = 0.9
	)
	for until := time.Now().Add(timeout); time.Now().Before(until) && ctx.Err() == nil; {
		fle.ledger.takeCounts()
		time.Sleep(window)
		if requests, served := fle.ledger.takeCounts(); requests > 0 && float64(served) >= servedRatio*float64(requests) {
			return nil
		}
	}
	return eris.Errorf("less than %.0f%% served after %s", servedRatio*100, timeout)
}
