package httplistener

import (
	"context"
	"net"
	"net/http"

	"flamingoreach/io/framing"
	"flamingoreach/io/pipeline"
)

// pipelinedListener accepts connections whose pipelined requests may run ahead.
type pipelinedListener struct {
	net.Listener
	pip         *pipeline.Pipeline
	connections *connectionSet
}

// Accept returns the next connection.
func (lis pipelinedListener) Accept() (net.Conn, error) {
	con, err := lis.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tra := lis.connections.find(con)
	if tra == nil {
		return con, nil
	}
	return lis.pip.NewConnection(con, tra.awaitClose, tra.linger), nil
}

// connContext puts a connection into the context of its requests.
func connContext(ctx context.Context, con net.Conn) context.Context {
	if pip, ok := con.(*pipeline.Connection); ok {
		ctx, con = pip.Context(ctx), pip.Conn
	}
	return framing.ConnContext(ctx, con)
}

// onStateChange passes a change of state that net/http reports to all layers of a connection.
func (set *connectionSet) onStateChange(con net.Conn, state http.ConnState) {
	if pip, ok := con.(*pipeline.Connection); ok {
		pip.OnStateChange(state)
		con = pip.Conn
	}
	set.setState(con, state)
	framing.OnStateChange(con, state)
}
