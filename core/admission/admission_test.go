package admission_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/admission"
	"flamingoreach/core/clientaccount"
	"flamingoreach/core/configuration"
	"flamingoreach/core/refusal"
	"flamingoreach/core/request"
	"flamingoreach/core/route"
)

// fingerprintOf returns the fingerprint of a request that is admitted on a route for an account.
func fingerprintOf(t *testing.T, rou route.Route, account string, req request.Request) uint64 {
	t.Helper()
	adm := &admission.Admission{
		Configuration: func() *configuration.Configuration { cfg := configuration.Default(); return &cfg },
		FindRoute:     func(request.Request) (route.Route, bool) { return rou, true },
		Authenticate: func(string) (clientaccount.ClientAccount, string, *refusal.Refusal) {
			return clientaccount.ClientAccount{Name: account}, "k", nil
		},
		CheckFence: func() *refusal.Refusal { return nil },
		TakeToken:  func(context.Context, string) *refusal.Refusal { return nil },
	}
	cal, _, ref := adm.Admit(t.Context(), req)
	require.Nil(t, ref)
	return cal.Fingerprint
}

// Guards against a crashing request that a new version of the configuration makes unknown.
func TestTheFingerprintOfARequestDoesNotDependOnItsRoute(t *testing.T) {
	req := request.Request{Method: "GET", Host: "a.example", Path: "/quotes/1", BodyDigest: 7}
	first := fingerprintOf(t, route.Route{Name: "r1", Service: "quotes", Timeout: time.Second}, "bank-a", req)
	require.Equal(t, first, fingerprintOf(t, route.Route{Name: "r2", Service: "quotes", Timeout: time.Second}, "bank-a", req))
	require.NotEqual(t, first, fingerprintOf(t, route.Route{Name: "r1", Timeout: time.Second}, "bank-b", req))
	for _, change := range []func(req *request.Request){
		func(req *request.Request) { req.Method = "PUT" },
		func(req *request.Request) { req.Host = "b.example" },
		func(req *request.Request) { req.Path = "/quotes/2" },
		func(req *request.Request) { req.BodyDigest = 8 },
	} {
		other := req
		change(&other)
		require.NotEqual(t, first, fingerprintOf(t, route.Route{Name: "r1", Timeout: time.Second}, "bank-a", other))
	}
}
