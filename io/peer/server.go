package peer

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/io/message"
	"flamingoreach/io/peer/callv1"
	"flamingoreach/io/peer/callv1/callv1connect"
	"flamingoreach/io/room"
)

const (
	// freeCallBytes is the length up to which a call takes no room.
	freeCallBytes = 64 << 10
	// longestRoomWait is how long a longer call waits for room.
	longestRoomWait = 500 * time.Millisecond
)

// Server handles the calls and control messages of other nodes; its function fields connect it with the local node.
type Server struct {
	leaderHooks

	// Bodies is the room that long calls share from before they are read to their end.
	Bodies *room.Room
	// RunCall runs a call at the local gate.
	RunCall func(ctx context.Context, cal call.Call, msg message.Message) (answer.Answer, message.Message)

	mux          *http.ServeMux
	codec        *codec
	controlBytes atomic.Uint64
}

// NewServer returns a server that handles no control messages yet; Handle registers their handlers.
func NewServer() *Server {
	ser := &Server{mux: http.NewServeMux()}
	ser.codec = newCodec(&ser.controlBytes)
	return ser
}

// ControlBytes returns the bytes of all control messages received and sent by this server.
func (ser *Server) ControlBytes() uint64 { return ser.controlBytes.Load() }

// Handler returns the handler of all messages between nodes. It must be called only once.
func (ser *Server) Handler() http.Handler {
	path, handler := callv1connect.NewCallServiceHandler(ser, connect.WithReadMaxBytes(maxMessageBytes))
	ser.mux.Handle(path, ser.awaitRoom(handler))
	ser.mux.HandleFunc("POST "+streamPath, ser.serveStream)
	return ser.mux
}

// awaitRoom reads a long call only once there is room for it. One that finds none in time fails with resource_exhausted,
// which the client takes to mean that it has not run.
func (ser *Server) awaitRoom(next http.Handler) http.Handler {
	errors := connect.NewErrorWriter()
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if req.ContentLength <= freeCallBytes {
			next.ServeHTTP(wri, req)
			return
		}
		ctx, cancel := context.WithTimeout(req.Context(), longestRoomWait)
		hol := ser.Bodies.Open(callsKind)
		defer hol.Close()
		err := hol.Await(ctx, req.ContentLength)
		cancel()
		if err != nil {
			_ = errors.Write(wri, req, connect.NewError(connect.CodeResourceExhausted, err))
			return
		}
		next.ServeHTTP(wri, req)
	})
}

// Run decodes one attempt and runs it at the local gate; it fails with invalid_argument if it cannot be decoded.
func (ser *Server) Run(ctx context.Context, req *connect.Request[callv1.RunRequest]) (*connect.Response[callv1.RunResponse], error) {
	cal, msg, err := decodeRequest(req.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	ctx, cancel := context.WithDeadline(ctx, cal.Deadline)
	defer cancel()
	ans, reply := ser.RunCall(ctx, cal, msg)
	return connect.NewResponse(encodeResponse(ans, reply)), nil
}
