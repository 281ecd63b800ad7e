package hostnode_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"flamingoreach/core/announcement"
	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/clientaccount"
	"flamingoreach/core/configuration"
	"flamingoreach/core/configurationfeed/reading"
	"flamingoreach/core/crash/record"
	"flamingoreach/core/departure"
	"flamingoreach/core/evacuation"
	"flamingoreach/core/evacuation/change"
	"flamingoreach/core/keyhash"
	"flamingoreach/core/localserver"
	"flamingoreach/core/membership/memberrow"
	"flamingoreach/core/request"
	"flamingoreach/core/route"
	"flamingoreach/io/hostnode"
	"flamingoreach/io/hostsettings"
	"flamingoreach/io/message"
	"flamingoreach/proofs/loopback"
)

const (
	testTime = 10 * time.Second
	key      = "key-of-bank-a"
	bearer   = "Bearer " + key
	stopTime = 6 * time.Second
)

// store is the platform's store, kept in memory.
type store struct {
	mut     sync.Mutex
	current configuration.Configuration
	changed chan struct{}
	// era and revision are the store's position, evacuated the data centres with a row of an evacuation.
	era, revision uint64
	evacuated     []string
	// evacuations maps the revisions at which a row of an evacuation was created or deleted to that change.
	evacuations map[uint64]change.Change
	// rowsDown makes the store refuse all requests for the rows of members and departures.
	rowsDown atomic.Bool
	rows     map[string]memberrow.Row
	crashes  map[uint64]record.Record
	// departures holds the departures of hosts; departureReads and departureWrites count the accesses that succeeded.
	departures                      map[netip.AddrPort]departure.Departure
	departureReads, departureWrites int
	// holdWrites, if set, holds up each write of a departure until the channel is closed.
	holdWrites atomic.Pointer[chan struct{}]
}

func newStore(cfg configuration.Configuration) *store {
	return &store{
		current: cfg, revision: 1, changed: make(chan struct{}), rows: map[string]memberrow.Row{}, evacuations: map[uint64]change.Change{},
		crashes: map[uint64]record.Record{}, departures: map[netip.AddrPort]departure.Departure{},
	}
}

func (sto *store) put(cfg configuration.Configuration) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	sto.current = cfg
	sto.notify()
}

// setEvacuated creates or deletes the row that evacuates a data centre.
func (sto *store) setEvacuated(dataCentre string, evacuated bool) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	sto.evacuated = slices.DeleteFunc(slices.Clone(sto.evacuated), func(name string) bool { return name == dataCentre })
	if evacuated {
		sto.evacuated = append(sto.evacuated, dataCentre)
	}
	sto.evacuations[sto.revision+1] = change.Change{DataCentre: dataCentre, Evacuated: evacuated}
	sto.notify()
}

// changesSince returns the evacuations that have begun or ended after a revision.
func (sto *store) changesSince(revision uint64) (changes []change.Change) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	for _, at := range slices.Sorted(maps.Keys(sto.evacuations)) {
		if at > revision {
			changes = append(changes, sto.evacuations[at])
		}
	}
	return changes
}

func (sto *store) notify() {
	sto.revision++
	close(sto.changed)
	sto.changed = make(chan struct{})
}

func (sto *store) read() (reading.Reading, <-chan struct{}) {
	sto.mut.Lock()
	defer sto.mut.Unlock()
	cfg := sto.current
	rea := reading.Reading{Configuration: &cfg, Revision: sto.revision, Era: sto.era}
	listed := evacuation.New(rea.Position(), sto.evacuated...)
	rea.Evacuation = &listed
	return rea, sto.changed
}

// host is one node with a fake backend server.
type host struct {
	*hostnode.Node

	settings hostsettings.Settings
	// storeUnreachable makes this host's requests for the configuration fail.
	storeUnreachable atomic.Bool
	// storeSilent makes the store leave this host's requests for the configuration without an answer.
	storeSilent atomic.Bool
	// departed makes the backend server tell a probe that it is leaving.
	departed atomic.Bool
	probes   atomic.Int64
	// follows counts this host's requests for changes of the configuration.
	follows atomic.Int64
	// run, if set, executes the calls; without it each call is answered at once.
	run  atomic.Pointer[func(ctx context.Context, cal call.Call) (answer.Answer, message.Message)]
	runs atomic.Int64
	// standin, if set, replaces the rows of the store kept in memory by those of the stand-in, over HTTP.
	standin *standinStore
	// timeout is that of the requests; 0 means two seconds.
	timeout time.Duration
	// logTo, if set, gets the node's log as JSON lines.
	logTo io.Writer
	stop  context.CancelFunc
	end   chan error
}

func (hos *host) platform(sto *store) hostnode.Platform {
	return hostnode.Platform{
		ReadConfiguration: func(ctx context.Context) (reading.Reading, error) {
			if err := hos.awaitStore(ctx); err != nil {
				return reading.Reading{}, err
			}
			rea, _ := sto.read()
			return rea, nil
		},
		FollowConfiguration: func(ctx context.Context, revision uint64, wait time.Duration) (reading.Reading, error) {
			hos.follows.Add(1)
			timer := time.NewTimer(wait)
			defer timer.Stop()
			for {
				if err := hos.awaitStore(ctx); err != nil {
					return reading.Reading{}, err
				}
				rea, changed := sto.read()
				if rea.Revision > revision {
					rea.Evacuation, rea.EvacuationChanges = nil, sto.changesSince(revision)
					return rea, nil
				}
				select {
				case <-changed:
				case <-timer.C:
					return reading.Reading{Revision: rea.Revision, Era: rea.Era}, hos.awaitStore(ctx)
				case <-ctx.Done():
					return reading.Reading{}, ctx.Err()
				}
			}
		},
		ReadMembers: func(context.Context, func(string, error)) ([]memberrow.Row, error) {
			sto.mut.Lock()
			defer sto.mut.Unlock()
			if sto.rowsDown.Load() {
				return nil, io.ErrUnexpectedEOF
			}
			var rows []memberrow.Row
			for _, row := range sto.rows {
				rows = append(rows, row)
			}
			return rows, nil
		},
		WriteMember: func(_ context.Context, row memberrow.Row) error {
			sto.mut.Lock()
			defer sto.mut.Unlock()
			if sto.rowsDown.Load() {
				return io.ErrUnexpectedEOF
			}
			sto.rows[row.Member.ID] = row
			return nil
		},
		DeleteMember: func(_ context.Context, id string) error {
			sto.mut.Lock()
			defer sto.mut.Unlock()
			delete(sto.rows, id)
			return nil
		},
		ReadCrashRecords: func(context.Context, string, func(string, error)) ([]record.Record, error) {
			sto.mut.Lock()
			defer sto.mut.Unlock()
			return slices.Collect(maps.Values(sto.crashes)), nil
		},
		WriteCrashRecords: func(_ context.Context, _ string, records []record.Record) error {
			sto.mut.Lock()
			defer sto.mut.Unlock()
			for _, rec := range records {
				sto.crashes[rec.Fingerprint] = rec
			}
			return nil
		},
		ReadDeparture: sto.readDeparture, WriteDeparture: sto.writeDeparture, ProbeBackendServer: hos.probe,
		Execute: func(ctx context.Context, ann announcement.Announcement, cal call.Call, msg message.Message) (answer.Answer, message.Message) {
			hos.runs.Add(1)
			if run := hos.run.Load(); run != nil {
				return (*run)(ctx, cal)
			}
			return completeAnswer(cal), message.Message{Status: http.StatusOK, Body: append([]byte(ann.ID+" "), msg.Body...)}
		},
		Sweep: func() {}, CloseIdle: func() {},
	}
}

// awaitStore fails if the store does not serve this host, at the end of the context if it gives no answer.
func (hos *host) awaitStore(ctx context.Context) error {
	if hos.storeSilent.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	if hos.storeUnreachable.Load() {
		return io.ErrUnexpectedEOF
	}
	return nil
}

func completeAnswer(cal call.Call) answer.Answer { return answer.Answer{CallID: cal.ID} }

func testConfiguration(version uint64) configuration.Configuration {
	cfg := configuration.Default()
	cfg.Version = version
	cfg.Accounts = []clientaccount.ClientAccount{{Name: "bank-a", Rate: 1000, Burst: 1000, Weight: 1, Keys: []keyhash.Hash{keyhash.Of(key)}}}
	cfg.Routes = []route.Route{
		{Name: "quotes", Host: "a.example", PathPrefix: "/quotes/", Service: "quotes", Idempotent: true, Timeout: 3 * time.Second, Attempts: 2, Priority: 1, TargetLatency: time.Second},
		{Name: "confirms", Host: "a.example", PathPrefix: "/confirms/", Service: "confirms", Timeout: 3 * time.Second, Attempts: 2, Priority: 2, TargetLatency: time.Second},
	}
	return cfg
}

// addOpenRoute adds a route that needs no key and is otherwise like another one.
func addOpenRoute(cfg *configuration.Configuration, open route.Route) {
	open.Name, open.PathPrefix, open.Open = "open", "/open/", true
	cfg.Routes = append(cfg.Routes, open)
}

// setRun sets the function that executes calls as the host's backend server.
func (hos *host) setRun(run func(ctx context.Context, cal call.Call) (answer.Answer, message.Message)) {
	hos.run.Store(&run)
}

// startFleet runs one node for each service given and waits until all accept calls and know each other.
func startFleet(t *testing.T, sto *store, services ...string) []*host {
	t.Helper()
	hosts := startHosts(t, sto, services...)
	requireFleet(t, hosts)
	return hosts
}

// startHosts runs one node for each service given.
func startHosts(t *testing.T, sto *store, services ...string) []*host {
	t.Helper()
	var hosts []*host
	for index, service := range services {
		hos := &host{settings: testSettings(fmt.Sprintf("h%d", index), service), end: make(chan error, 1)}
		hos.start(t, sto)
		hosts = append(hosts, hos)
	}
	return hosts
}

// requireFleet waits until all hosts accept calls and know each other.
func requireFleet(t *testing.T, hosts []*host) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, hos := range hosts {
			vie := hos.View()
			if !hos.AcceptsCalls() || len(vie.Serving("quotes"))+len(vie.Serving("confirms")) != len(hosts) {
				return false
			}
		}
		return true
	}, testTime, 20*time.Millisecond)
}

// start runs the node and announces its backend server.
func (hos *host) start(t *testing.T, sto *store) {
	t.Helper()
	hos.startNode(t, sto)
	// The first one is not in force if the check of the backend server takes long, and is repeated then.
	number := uint64(0)
	require.Eventually(t, func() bool {
		err := hos.ReceiveAnnouncement(t.Context(), hos.announcement(localserver.Serving, number))
		number = 1
		return err == nil
	}, testTime, time.Millisecond)
}

func (hos *host) startNode(t *testing.T, sto *store) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	hos.stop = cancel
	pla := hos.platform(sto)
	if hos.standin != nil {
		hos.standin.connect(t, hos, &pla)
	}
	hos.Node = hostnode.New(hos.settings, pla, hos.logger())
	go func() {
		hos.end <- hos.Run(ctx, hostnode.Handlers{Callers: hos, Announcements: http.NotFoundHandler(), Ready: http.NotFoundHandler()})
	}()
	t.Cleanup(cancel)
	select {
	case <-hos.Ready():
	case err := <-hos.end:
		require.NoError(t, err)
	}
}

func (hos *host) logger() *log.Logger {
	if hos.logTo == nil {
		return log.New(io.Discard)
	}
	return log.NewWithOptions(hos.logTo, log.Options{Formatter: log.JSONFormatter})
}

// announcement returns the announcement with the given number, counted from 0.
func (hos *host) announcement(state string, number uint64) announcement.Announcement {
	return announcement.Announcement{
		ID: hos.settings.Name, Sequence: number + 1, Address: hos.settings.BackendServer, Service: hos.settings.Service,
		Slots: 4, State: state, Started: time.Unix(1, 0),
	}
}

func (hos *host) ask(ctx context.Context, id, path, credential string) (answer.Answer, message.Message) {
	return hos.Serve(ctx, request.Request{
		Method: http.MethodGet, Host: "a.example", Path: path, ID: id, Credential: credential, Timeout: cmp.Or(hos.timeout, 2*time.Second), CallerService: hos.settings.Service,
	}, message.Message{Method: http.MethodGet, Target: path, Header: http.Header{}})
}

// ServeHTTP serves callers' requests by their path alone, without the platform's protocol. Those on the open route come
// without a key.
func (hos *host) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	credential := bearer
	if strings.HasPrefix(req.URL.Path, "/open/") {
		credential = ""
	}
	ans, reply := hos.ask(req.Context(), req.URL.Path, req.URL.Path, credential)
	if ans.Refusal != nil {
		wri.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	wri.WriteHeader(reply.Status)
}

// callOverHTTP sends a request over a connection to the host's listener for callers and returns the status.
func (hos *host) callOverHTTP(ctx context.Context, path string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+hos.settings.Callers.String()+path, http.NoBody)
	if err != nil {
		return 0, err
	}
	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, err
	}
	return res.StatusCode, res.Body.Close()
}

func testSettings(name, service string) hostsettings.Settings {
	address := loopback.NewHost()
	at := func(number uint16) netip.AddrPort { return netip.AddrPortFrom(address, loopback.FirstPort+number) }
	return hostsettings.Settings{
		Name: name, Host: address, DataCentre: "a", Region: "r", Service: service,
		Callers: at(0), Announcements: at(1), Ready: at(2), Peers: at(3), Metrics: at(4),
		BackendServer: at(5), MemoryBytes: 1 << 30, Cores: 1, LinkBytes: 1 << 30,
		Bounds: hostsettings.Bounds{RepeatRatio: 0.2, RepeatSlack: 48, StopTime: stopTime, ConfigurationTime: 2 * time.Second},
	}
}

func requireJSON(t *testing.T, text string, into any) {
	t.Helper()
	require.NoError(t, json.Unmarshal([]byte(text), into), text)
}
