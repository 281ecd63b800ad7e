package operator

import (
	"context"
	"errors"
	"net/http"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	"github.com/google/uuid"

	"flamingoreach/core/acceptedversion"
	"flamingoreach/core/configuration"
	"flamingoreach/core/gatestats"
	"flamingoreach/core/keyhash"
	"flamingoreach/core/leader"
	"flamingoreach/core/nodereport"
	"flamingoreach/core/patchresult"
	"flamingoreach/core/row"
	"flamingoreach/core/tokencount"
	"flamingoreach/core/view"
	"flamingoreach/io/operator/operatorv1/operatorv1connect"
)

const requestBytes = 16 << 20

// Server answers operators; its function fields are its seams.
type Server struct {
	View func() *view.View
	Gate func() gatestats.Stats
	// Counts returns the counters of refusals, retries and answers by metric name.
	Counts func() map[string]uint64
	// Leaders returns the known leaders by data centre.
	Leaders func() map[string]leader.Leader
	// Shares returns this node's tokens by client account.
	Shares func() map[string]tokencount.TokenCount
	// Reports asks every member.
	Reports func(ctx context.Context) []nodereport.NodeReport
	Metrics http.Handler
	// Patch submits a checked body and waits for its result.
	Patch func(ctx context.Context, id uuid.UUID, base uint64, body configuration.Configuration) (patchresult.Result, error)
	// Version returns an accepted version; it fails with row.ErrNotFound if there is none.
	Version func(ctx context.Context, version uint64) (configuration.Configuration, error)
	// Versions lists the last accepted versions, at most so many.
	Versions func(ctx context.Context, last int) ([]acceptedversion.AcceptedVersion, error)
	// TakeOut declares a data centre out; it fails with row.ErrNotFound if there is none of that name.
	TakeOut func(ctx context.Context, dataCentre string) error
	// TokenHashes lists the operators' tokens; without any, every operator on the listener is served.
	TokenHashes []keyhash.Hash
	Log         *log.Logger
}

// Handler returns the handler of the operators' service and of /metrics.
func (ser *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	path, service := operatorv1connect.NewOperatorServiceHandler(ser, connect.WithReadMaxBytes(requestBytes))
	mux.Handle(path, ser.authenticate(service))
	mux.Handle("GET /metrics", ser.Metrics)
	return mux
}

// encodeError tells what does not exist, and what was overtaken, from failures.
func encodeError(err error) error {
	switch {
	case errors.Is(err, row.ErrNotFound):
		return connect.NewError(connect.CodeNotFound, err)
	case errors.Is(err, row.ErrConflict):
		return connect.NewError(connect.CodeAborted, err)
	default:
		return connect.NewError(connect.CodeUnavailable, err)
	}
}
