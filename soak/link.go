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

// linkBufferBytes is the largest number of bytes that a link reads from a connection at once.
const linkBufferBytes = 16 << 10

// linkLatency is the time by which a delaying link delays each read, in each direction.
const linkLatency = 100 * time.Millisecond

// linkMode is the behaviour of a link.
type linkMode int

// A link forwards bytes, forwards them with a delay, or drops those from the client, from the server, or in both directions.
const (
	forwarding linkMode = iota
	delaying
	droppingFromClient
	droppingFromServer
	droppingAll
)

// link is a loopback proxy between one server and its clients.
type link struct {
	listener net.Listener
	target   netip.AddrPort

	mut   sync.Mutex
	mode  linkMode
	pairs map[*linkPair]struct{}
}

// linkPair is a client's connection to the link with the link's connection to the server.
type linkPair struct{ client, server *net.TCPConn }

// newLink listens on an address and forwards connections to target; it fails if the address is in use.
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
		go lin.serve(con.(*net.TCPConn))
	}
}

// serve connects to the server and forwards bytes in both directions. It resets the client's connection if the server
// does not listen.
func (lin *link) serve(client *net.TCPConn) {
	server, err := (&net.Dialer{}).Dial("tcp", lin.target.String())
	if err != nil {
		abort(client)
		return
	}
	pair := &linkPair{client: client, server: server.(*net.TCPConn)}
	lin.mut.Lock()
	lin.pairs[pair] = struct{}{}
	lin.mut.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { lin.copyBytes(pair.client, pair.server, droppingFromClient) })
	directions.Go(func() { lin.copyBytes(pair.server, pair.client, droppingFromServer) })
	directions.Wait()
	lin.mut.Lock()
	delete(lin.pairs, pair)
	lin.mut.Unlock()
	_, _ = client.Close(), server.Close()
}

// copyBytes forwards bytes from one connection of a pair to the other until either ends. If bytes arrive while the link
// drops this direction, they are lost and copyBytes returns: the connection carries nothing more in this direction.
func (lin *link) copyBytes(from, to *net.TCPConn, dropped linkMode) {
	buffer := make([]byte, linkBufferBytes)
	for {
		count, err := from.Read(buffer)
		switch mode := lin.getMode(); mode {
		case delaying:
			time.Sleep(linkLatency)
		case droppingAll, dropped:
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

func (lin *link) getMode() linkMode {
	lin.mut.Lock()
	defer lin.mut.Unlock()
	return lin.mode
}

func (lin *link) setMode(mode linkMode) {
	lin.mut.Lock()
	defer lin.mut.Unlock()
	lin.mode = mode
}

// reset closes all connections with a TCP reset.
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

// disturb sets a random mode for a time between a tenth of span and 1.1 times span. After a mode that drops bytes it
// resets the connections, because they may have lost bytes; after a delay it leaves them open. If the mode is
// forwarding, it resets the connections at once.
func (lin *link) disturb(ctx context.Context, ran *rand.Rand, span time.Duration) {
	if mode := linkMode(ran.IntN(int(droppingAll) + 1)); mode != forwarding {
		lin.setMode(mode)
		dispatcher.Wait(ctx, randomDuration(ran, span))
		lin.setMode(forwarding)
		if mode == delaying {
			return
		}
	}
	lin.reset()
}
