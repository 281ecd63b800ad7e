package operator

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"flamingoreach/core/acceptedversion"
	"flamingoreach/core/configuration"
	"flamingoreach/core/gatestats"
	"flamingoreach/core/keyhash"
	"flamingoreach/core/leader"
	"flamingoreach/core/nodereport"
	"flamingoreach/core/patchresult"
	"flamingoreach/core/tokencount"
	"flamingoreach/core/view"
)

const (
	fuzzToken = "operator-token"
	procedure = "POST /flamingoreach.operator.v1.OperatorService/"
)

// FuzzHandler feeds raw requests to the operators' handler; no request without the token may reach the node.
func FuzzHandler(f *testing.F) {
	for _, name := range []string{
		"ShowConfiguration", "PatchConfiguration", "ListVersions", "CompareConfigurations", "DeclareOut", "Status", "FleetStatus",
	} {
		for _, head := range []string{"", "Authorization: Bearer " + fuzzToken + "\r\n", "Authorization: bearer\r\n"} {
			body := `{"text":"W1tyb3V0ZXNdXQ==","id":"x","version":1}`
			f.Add([]byte(procedure + name + " HTTP/1.1\r\nHost: a\r\n" + head + "Content-Type: application/json\r\nContent-Length: 44\r\n\r\n" + body))
			f.Add([]byte(procedure + name + " HTTP/1.1\r\nHost: a\r\n" + head + "Content-Type: application/proto\r\nContent-Length: 2\r\n\r\n\x08\x01"))
		}
	}
	f.Add([]byte("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		htr, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
		if err != nil {
			return
		}
		reached := false
		ser := newFuzzServer(&reached)
		known := strings.Contains(htr.Header.Get("Authorization"), fuzzToken)
		rec := httptest.NewRecorder()
		ser.Handler().ServeHTTP(rec, htr)
		require.False(t, reached && !known, "a call without the token reached the node")
	})
}

func newFuzzServer(reached *bool) *Server {
	return &Server{
		View:    func() *view.View { *reached = true; return &view.View{} },
		Gate:    func() gatestats.Stats { *reached = true; return gatestats.Stats{} },
		Counts:  func() map[string]uint64 { *reached = true; return nil },
		Leaders: func() map[string]leader.Leader { *reached = true; return nil },
		Shares:  func() map[string]tokencount.TokenCount { *reached = true; return nil },
		Reports: func(context.Context) []nodereport.NodeReport { *reached = true; return nil },
		Metrics: http.NotFoundHandler(),
		Patch: func(context.Context, uuid.UUID, uint64, configuration.Configuration) (patchresult.Result, error) {
			*reached = true
			return patchresult.Result{Kind: patchresult.Accepted}, nil
		},
		Version: func(context.Context, uint64) (configuration.Configuration, error) {
			*reached = true
			return configuration.Default(), nil
		},
		Versions: func(context.Context, int) ([]acceptedversion.AcceptedVersion, error) {
			*reached = true
			return nil, nil
		},
		DeclareDataCentreOut: func(context.Context, string) error { *reached = true; return nil },

		TokenHashes: []keyhash.Hash{keyhash.Of(fuzzToken)}, Log: log.New(io.Discard),
	}
}
