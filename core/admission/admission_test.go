package admission_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/core/admission"
	"flamingoreach/core/allowance"
	"flamingoreach/core/clientaccount"
	"flamingoreach/core/configuration"
	"flamingoreach/core/handle"
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

// Guards against a call that is restricted by only one of its route and its account, and against a deeper call or one on
// an open route that is not restricted by its route.
func TestACallHasTheRegionsOfItsRouteAndAccount(t *testing.T) {
	for _, test := range []struct {
		rou      route.Route
		account  []string
		parent   *handle.Handle
		expected []string
	}{
		{rou: route.Route{}},
		{rou: route.Route{Regions: []string{"r"}}, expected: []string{"r"}},
		{rou: route.Route{}, account: []string{"s"}, expected: []string{"s"}},
		{rou: route.Route{Regions: []string{"r", "s"}}, account: []string{"s"}, expected: []string{"s"}},
		{rou: route.Route{Regions: []string{"r"}}, account: []string{"s"}, expected: []string{}},
		{rou: route.Route{Regions: []string{"r"}, Open: true}, account: []string{"s"}, expected: []string{"r"}},
		{rou: route.Route{Regions: []string{"r"}, Open: true}, account: []string{"s"}, parent: &handle.Handle{Allowance: allowance.New(0)}, expected: []string{"r"}},
	} {
		adm := &admission.Admission{
			Configuration: func() *configuration.Configuration { cfg := configuration.Default(); return &cfg },
			FindRoute:     func(request.Request) (route.Route, bool) { return test.rou, true },
			Authenticate: func(string) (clientaccount.ClientAccount, string, *refusal.Refusal) {
				return clientaccount.ClientAccount{Name: "a", Regions: test.account}, "k", nil
			},
			CheckFence: func() *refusal.Refusal { return nil },
			TakeToken:  func(context.Context, string) *refusal.Refusal { return nil },
		}
		cal, _, ref := adm.Admit(t.Context(), request.Request{Parent: test.parent})
		require.Nil(t, ref)
		require.Equal(t, test.expected, cal.Regions)
	}
}

// Guards against a call that takes its route from one version of the configuration and its account from the next. Here
// both versions restrict the call, one by the route and the other by the account.
func TestACallHasTheRouteAndAccountOfOneVersion(t *testing.T) {
	regions := []string{"s"}
	cfg := &configuration.Configuration{Version: 1}
	rou, acc := route.Route{}, clientaccount.ClientAccount{Name: "a", Regions: regions}
	tokens := 0
	adm := &admission.Admission{
		Configuration: func() *configuration.Configuration { return cfg },
		FindRoute: func(request.Request) (route.Route, bool) {
			found := rou
			if cfg.Version == 1 {
				cfg = &configuration.Configuration{Version: 2}
				rou.Regions, acc.Regions = regions, nil
			}
			return found, true
		},
		Authenticate: func(string) (clientaccount.ClientAccount, string, *refusal.Refusal) { return acc, "k", nil },
		CheckFence:   func() *refusal.Refusal { return nil },
		TakeToken:    func(context.Context, string) *refusal.Refusal { tokens++; return nil },
	}
	cal, _, ref := adm.Admit(t.Context(), request.Request{})
	require.Nil(t, ref)
	require.Equal(t, regions, cal.Regions)
	require.Equal(t, 1, tokens)
}
