package standinplatform

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"flamingoreach/core/row"
	"flamingoreach/io/standinplatform/contents"
	"flamingoreach/io/standinplatform/faults"
)

const (
	headerTimeout = 10 * time.Second
	serverCount   = 3
)

// Platform serves a table service, an object store and an endpoint that controls both, on three TCP ports.
type Platform struct {
	mutex   sync.Mutex
	faults  faults.Faults
	table   *table
	objects map[string][]byte
	reads   atomic.Uint64
	writes  atomic.Uint64

	listeners [serverCount]net.Listener
	servers   [serverCount]*http.Server
	ended     chan error
	stop      context.CancelFunc
}

// New listens on the three addresses and starts to serve; port 0 selects a free port. It fails if it cannot listen on
// one of them.
func New(tableAddress, objectAddress, controlAddress netip.AddrPort) (*Platform, error) {
	ctx, cancel := context.WithCancel(context.Background())
	pla := &Platform{
		table: newTable(), objects: map[string][]byte{}, stop: cancel,
		ended: make(chan error, serverCount),
	}
	handlers := [serverCount]http.Handler{pla.tableHandler(), pla.objectHandler(), pla.controlHandler()}
	for i, address := range []netip.AddrPort{tableAddress, objectAddress, controlAddress} {
		lis, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address.String())
		if err != nil {
			pla.closeListeners()
			cancel()
			return nil, eris.Wrapf(err, "listen at %s", address)
		}
		pla.listeners[i] = lis
		pla.servers[i] = &http.Server{
			Handler:           handlers[i],
			ReadHeaderTimeout: headerTimeout,
			BaseContext:       func(net.Listener) context.Context { return ctx },
		}
	}
	for i := range pla.servers {
		go func() { pla.ended <- pla.servers[i].Serve(pla.listeners[i]) }()
	}
	return pla, nil
}

// TableAddress returns the address of the table service.
func (pla *Platform) TableAddress() netip.AddrPort { return boundAddress(pla.listeners[0]) }

// ObjectAddress returns the address of the object store.
func (pla *Platform) ObjectAddress() netip.AddrPort { return boundAddress(pla.listeners[1]) }

// ControlAddress returns the address of the control endpoint.
func (pla *Platform) ControlAddress() netip.AddrPort { return boundAddress(pla.listeners[2]) }

// Faults returns the faults in force; LostAnswers is the number that remains.
func (pla *Platform) Faults() faults.Faults {
	pla.mutex.Lock()
	defer pla.mutex.Unlock()
	return pla.faults
}

// SetFaults replaces the faults in force; requests that are already delayed keep their delay.
func (pla *Platform) SetFaults(fau faults.Faults) {
	pla.mutex.Lock()
	defer pla.mutex.Unlock()
	pla.faults = fau
}

// Contents returns a copy of all rows and objects, and the number of requests so far.
func (pla *Platform) Contents() contents.Contents {
	pla.mutex.Lock()
	defer pla.mutex.Unlock()
	con := contents.Contents{
		Rows: []row.Row{}, Objects: map[string][]byte{},
		Reads: pla.reads.Load(), Writes: pla.writes.Load(),
	}
	for _, key := range pla.table.sortedKeys() {
		item := pla.table.items[key]
		con.Rows = append(con.Rows, row.Row{
			Key: key.collection + "/" + key.name, Revision: item.revision, Value: append([]byte{}, item.value...),
		})
	}
	for name, body := range pla.objects {
		con.Objects[name] = append([]byte{}, body...)
	}
	return con
}

// Close ends all connections, waits for the three servers to stop, and returns the first unexpected error.
func (pla *Platform) Close() error {
	pla.stop()
	var first error
	for _, srv := range pla.servers {
		if err := srv.Close(); err != nil && first == nil {
			first = eris.Wrap(err, "close server")
		}
	}
	for range pla.servers {
		if err := <-pla.ended; !eris.Is(err, http.ErrServerClosed) && first == nil {
			first = eris.Wrap(err, "serve")
		}
	}
	return first
}

func (pla *Platform) closeListeners() {
	for _, lis := range pla.listeners {
		if lis != nil {
			_ = lis.Close()
		}
	}
}

// applyRequestFaults delays a request, and closes its connection if there is an outage before or after the delay or if
// the client disconnects during it.
func (pla *Platform) applyRequestFaults(req *http.Request, outage func(faults.Faults) bool) {
	fau := pla.Faults()
	if outage(fau) {
		panic(http.ErrAbortHandler)
	}
	if fau.Delay <= 0 {
		return
	}
	timer := time.NewTimer(fau.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-req.Context().Done():
		panic(http.ErrAbortHandler)
	}
	if outage(pla.Faults()) {
		panic(http.ErrAbortHandler)
	}
}

// applyAnswerFaults closes the connection of a write that took effect, instead of answering it, while LostAnswers is not 0.
func (pla *Platform) applyAnswerFaults() {
	pla.mutex.Lock()
	lost := pla.faults.LostAnswers != 0
	if pla.faults.LostAnswers > 0 {
		pla.faults.LostAnswers--
	}
	pla.mutex.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
}

func boundAddress(lis net.Listener) netip.AddrPort {
	return lis.Addr().(*net.TCPAddr).AddrPort()
}
