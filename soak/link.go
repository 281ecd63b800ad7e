package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"flamingoreach/io/dispatcher"
)

// linkBytes is the most that a link takes from a connection at once.
const linkBytes = 16 << 10

// linkDelay is how long a slow link holds what it passes on, in each direction.
const linkDelay = 100 * time.Millisecond

// linkWay is how a link behaves.
type linkWay int

// The ways of a link: as it should, slowly, and without passing anything on from the client, from the server or at all.
const (
	passes linkWay = iota
	delays
	silentFromClient
	silentFromServer
	silent
)

// link is a loopback proxy between one server and its clients.
type link struct {
	listener net.Listener
	target   netip.AddrPort

	mut   sync.Mutex
	way   linkWay
	pairs map[*linkPair]struct{}
}

// linkPair is one connection with its other half.
type linkPair struct{ client, server *net.TCPConn }

// newLink listens on one address and passes on to another; it fails if the address is taken.
func newLink(ctx context.Context, address, target netip.AddrPort) (*link, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, eris.Wrap(err, "bind link")
	}
	lin := &link{listener: listener, target: target, pairs: map[*linkPair]struct{}{}}
	go lin.accept()
	return lin, nil
}

func (lin *link) accept() {
	for {
		con, err := lin.listener.Accept()
		if err != nil {
			return
		}
		go lin.join(con.(*net.TCPConn))
	}
}

// join connects to the server and passes bytes on in both directions; a server that does not listen resets the client.
func (lin *link) join(client *net.TCPConn) {
	server, err := (&net.Dialer{}).Dial("tcp", lin.target.String())
	if err != nil {
		abort(client)
		return
	}
	pair := &linkPair{client: client, server: server.(*net.TCPConn)}
	lin.mut.Lock()
	lin.pairs[pair] = struct{}{}
	lin.mut.Unlock()
	var halves sync.WaitGroup
	halves.Go(func() { lin.pass(pair.client, pair.server, silentFromClient) })
	halves.Go(func() { lin.pass(pair.server, pair.client, silentFromServer) })
	halves.Wait()
	lin.mut.Lock()
	delete(lin.pairs, pair)
	lin.mut.Unlock()
	_, _ = client.Close(), server.Close()
}

// pass copies from one half to the other one until either ends. What comes while the link is silent is lost with the
// connection.
func (lin *link) pass(from, to *net.TCPConn, lost linkWay) {
	buffer := make([]byte, linkBytes)
	for {
		count, err := from.Read(buffer)
		switch way := lin.get(); way {
		case delays:
			time.Sleep(linkDelay)
		case silent, lost:
			return
		}
		if _, writeErr := to.Write(buffer[:count]); writeErr != nil || err != nil {
			if err == io.EOF { //nolint:errorlint // read from the connection itself
				_ = to.CloseWrite()
				return
			}
			abort(from)
			abort(to)
			return
		}
	}
}

func (lin *link) get() linkWay {
	lin.mut.Lock()
	defer lin.mut.Unlock()
	return lin.way
}

func (lin *link) set(way linkWay) {
	lin.mut.Lock()
	defer lin.mut.Unlock()
	lin.way = way
}

// reset cuts all connections with a reset.
func (lin *link) reset() {
	lin.mut.Lock()
	defer lin.mut.Unlock()
	for pair := range lin.pairs {
		abort(pair.client)
		abort(pair.server)
	}
}

func (lin *link) close() {
	_ = lin.listener.Close()
	lin.reset()
}

func abort(con *net.TCPConn) {
	_ = con.SetLinger(0)
	_ = con.Close()
}

// disturb lets a link misbehave in a random way for a time; what it held back is lost.
func (lin *link) disturb(ctx context.Context, ran *rand.Rand, longest time.Duration) {
	if way := linkWay(ran.IntN(int(silent) + 1)); way != passes {
		lin.set(way)
		dispatcher.Wait(ctx, span(ran, longest))
		lin.set(passes)
		if way == delays {
			return
		}
	}
	lin.reset()
}
