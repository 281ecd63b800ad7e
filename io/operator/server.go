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

const maxRequestBytes = 16 << 20

// Server handles the calls of operators. Its function fields connect it to the node; tests replace them.
type Server struct {
	View func() *view.View
	Gate func() gatestats.Stats
	// Counts returns the counters of refusals, retries and answers by metric name.
	Counts func() map[string]uint64
	// Leaders returns the known leaders by data centre.
	Leaders func() map[string]leader.Leader
	// Shares returns this node's tokens by client account.
	Shares func() map[string]tokencount.TokenCount
	// Reports asks every member for a report.
	Reports func(ctx context.Context) []nodereport.NodeReport
	Metrics http.Handler
	// Patch submits a decoded configuration as a patch and waits for the result.
	Patch func(ctx context.Context, id uuid.UUID, base uint64, body configuration.Configuration) (patchresult.Result, error)
	// Version returns an accepted version; it fails with row.ErrNotFound if there is none.
	Version func(ctx context.Context, version uint64) (configuration.Configuration, error)
	// Versions returns the newest accepted versions, at most last of them, in ascending order.
	Versions func(ctx context.Context, last int) ([]acceptedversion.AcceptedVersion, error)
	// DeclareDataCentreOut declares a data centre out, so that patches no longer wait for it; it fails with
	// row.ErrNotFound if there is none of that name.
	DeclareDataCentreOut func(ctx context.Context, dataCentre string) error
	// TokenHashes holds the hashes of the operators' tokens; if it is empty, calls without a token are served.
	TokenHashes []keyhash.Hash
	Log         *log.Logger
}

// Handler returns the handler of the operators' API and of /metrics.
func (ser *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	path, service := operatorv1connect.NewOperatorServiceHandler(ser, connect.WithReadMaxBytes(maxRequestBytes))
	mux.Handle(path, ser.authenticate(service))
	mux.Handle("GET /metrics", ser.Metrics)
	return mux
}

// encodeError maps an error to a code of the RPC: not_found, aborted if a concurrent write came first, else unavailable.
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
