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
	hostName    = "soak.example"
	// ampleRate is more than all callers of the first account ask.
	ampleRate = 5000
)

// services are those of the backend servers, host by host in turn; the route that moves goes to them in the same order.
var services = [...]string{"quotes", "confirms"}

// Fleet is the processes and stand-ins of one seed.
type Fleet struct {
	number  int
	folder  string
	program string
	store   *standin.Store
	ledger  *ledger
	hosts   []*host

	mut     sync.Mutex
	version uint64
	// moves counts the versions that moved a route to the next service, movedAt is when the last one was written.
	moves   int
	movedAt time.Time
	// keys are valid, former ones were withdrawn.
	keys   []key
	former []key
}

// key is a caller's key with the times of the versions that granted and withdrew it; the latter is zero for a valid one.
type key struct {
	text      string
	granted   time.Time
	withdrawn time.Time
}

// surely reports whether a change of long ago must be in force at a host.
func surely(change, now time.Time, hos *host) bool {
	return !change.IsZero() && now.Sub(change) > configurationTime && hos.calmFor(configurationTime)
}

// newFleet starts node processes; number sets the fleet's addresses apart from those of others on this machine.
func newFleet(ctx context.Context, program, folder string, number, size int) (*Fleet, error) {
	fle := &Fleet{
		number: number, folder: folder, program: program, store: standin.NewStore(), ledger: newLedger(), movedAt: time.Now(),
		keys: []key{{text: "key-one-of-bank-a", granted: time.Now()}, {text: "key-two-of-bank-a", granted: time.Now()}},
	}
	fle.configure()
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

// configure writes the next version with the present keys.
func (fle *Fleet) configure() {
	fle.version += 1 + fle.version%3
	var keys []string
	for _, valid := range fle.keys {
		keys = append(keys, valid.text)
	}
	fle.store.PutConfiguration(standin.Configuration(fle.version, hostName, fle.movingTo(),
		standin.Account{Name: accountName, Keys: keys, Rate: ampleRate, Burst: ampleRate},
		standin.Account{Name: greedyName, Keys: []string{greedyKey}, Rate: greedyRate, Burst: greedyRate}))
}

// changeVersion withdraws a key, grants another one and moves a route to the other service.
func (fle *Fleet) changeVersion() {
	fle.mut.Lock()
	defer fle.mut.Unlock()
	gone := fle.keys[0]
	fle.keys = append(fle.keys[1:], key{text: fmt.Sprintf("key-of-version-%d", fle.version)})
	fle.moves++
	fle.configure()
	now := time.Now()
	fle.movedAt = now
	fle.keys[len(fle.keys)-1].granted = now
	gone.withdrawn = now
	fle.former = append(fle.former, gone)
}

// key returns the key for a request, now and then a withdrawn one.
func (fle *Fleet) key(number int) key {
	fle.mut.Lock()
	defer fle.mut.Unlock()
	if number%withdrawnOf == 0 && len(fle.former) > 0 {
		return fle.former[number%len(fle.former)]
	}
	return fle.keys[0]
}

// movingRoute returns the service of the route that moves, and when it was moved there.
func (fle *Fleet) movingRoute() (service string, since time.Time) {
	fle.mut.Lock()
	defer fle.mut.Unlock()
	return fle.movingTo(), fle.movedAt
}

func (fle *Fleet) movingTo() string { return services[fle.moves%len(services)] }

// isValid reports whether a key has not been withdrawn meanwhile.
func (fle *Fleet) isValid(shown key) bool {
	fle.mut.Lock()
	defer fle.mut.Unlock()
	for _, valid := range fle.keys {
		if valid.text == shown.text {
			return true
		}
	}
	return false
}

// awaitService waits until most requests of a short time were served.
func (fle *Fleet) awaitService(ctx context.Context, patience time.Duration) error {
	const (
		window = 500 * time.Millisecond
		part   = 0.9
	)
	for until := time.Now().Add(patience); time.Now().Before(until) && ctx.Err() == nil; {
		fle.ledger.counts()
		time.Sleep(window)
		if asked, served := fle.ledger.counts(); asked > 0 && float64(served) >= part*float64(asked) {
			return nil
		}
	}
	return eris.Errorf("less than %.0f%% served after %s", part*100, patience)
}
