package bytecount

import (
	"context"
	"net"
	"sync/atomic"
)

// Counter counts the bytes read from and written to its connections; its methods may be called from any goroutine.
type Counter struct {
	bytes atomic.Uint64
}

// Bytes returns the number of bytes so far.
func (cou *Counter) Bytes() uint64 { return cou.bytes.Load() }

// Dialer returns a dial function whose connections are counted.
func (cou *Counter) Dialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		con, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &connection{Conn: con, counter: cou}, nil
	}
}

// Listener returns a listener whose connections are counted.
func (cou *Counter) Listener(lis net.Listener) net.Listener {
	return &listener{Listener: lis, counter: cou}
}

type listener struct {
	net.Listener

	counter *Counter
}

func (lis *listener) Accept() (net.Conn, error) {
	con, err := lis.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &connection{Conn: con, counter: lis.counter}, nil
}

type connection struct {
	net.Conn

	counter *Counter
}

func (con *connection) Read(buffer []byte) (int, error) {
	count, err := con.Conn.Read(buffer)
	con.counter.bytes.Add(uint64(max(count, 0)))
	return count, err
}

func (con *connection) Write(data []byte) (int, error) {
	count, err := con.Conn.Write(data)
	con.counter.bytes.Add(uint64(max(count, 0)))
	return count, err
}
