package processes_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"flamingoreach/core/keyhash"
	"flamingoreach/io/echo"
	"flamingoreach/io/message"
	"flamingoreach/io/operator/operatorv1"
	"flamingoreach/io/operator/operatorv1/operatorv1connect"
	"flamingoreach/proofs/processfleet"
)

const (
	startTimeout = 30 * time.Second
	callTimeout  = 10 * time.Second
	// inForceBound bounds the wait until the fleet serves again after a change: a configuration that is in force at all
	// nodes, a new leader, or a call that succeeds.
	inForceBound = 18 * time.Second
	// withdrawalBound is the time within which a node must refuse a withdrawn key, counted from the acceptance of the
	// patch or, at a node that was frozen, from its first answer.
	withdrawalBound = 5 * time.Second

	keyA = "key-of-bank-a-0123456789"
	keyB = "key-of-bank-b-0123456789"
)

var (
	program string
	// fleets limits the number of fleets, of nine processes each, that run at the same time.
	fleets = make(chan struct{}, 2)
)

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "flamingoreach")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	program = filepath.Join(folder, "flamingoreach")
	text, err := exec.CommandContext(context.Background(), "go", "build", "-o", program, "flamingoreach/cmd/flamingoreach").CombinedOutput()
	if err != nil {
		fmt.Fprintln(os.Stderr, err, string(text))
		return 1
	}
	return m.Run()
}

type fixture struct {
	*processfleet.Fleet
	t *testing.T
}

// testAccount is a client account in the configuration of a test.
type testAccount struct {
	name, key   string
	rate, burst int
}

func unlimitedAccount(name, key string) testAccount { return testAccount{name, key, 100_000, 100_000} }

func sites(dataCentres ...string) []*processfleet.Site {
	var all []*processfleet.Site
	for _, name := range dataCentres {
		all = append(all, &processfleet.Site{
			Name: fmt.Sprintf("%s%d", name, len(all)), Region: strings.TrimSuffix(name, "A"), DataCentre: name, Service: "desk",
		})
	}
	return all
}

// startFleet starts a fleet in two regions and waits until version 1 of the configuration is in force at all nodes.
func startFleet(t *testing.T, accounts ...testAccount) fixture {
	t.Helper()
	return startFleetAt(t, sites("westA", "westA", "eastA", "eastA"), accounts...)
}

func startFleetAt(t *testing.T, sites []*processfleet.Site, accounts ...testAccount) fixture {
	t.Helper()
	t.Parallel()
	fleets <- struct{}{}
	t.Cleanup(func() { <-fleets })
	fix := fixture{Fleet: &processfleet.Fleet{Program: program, Folder: t.TempDir(), Record: true}, t: t}
	t.Cleanup(func() {
		fix.Close()
		if t.Failed() {
			fix.keepLogs()
		}
	})
	require.NoError(t, fix.Start(timeoutContext(t, startTimeout), sites...))
	fix.patchUntilAccepted(0, 0, accounts...)
	fix.awaitServing(1, fix.Sites...)
	return fix
}

// keepLogs copies the fleet's folder into the folder that the environment variable PROOFS_KEEP names, if it is set.
func (fix fixture) keepLogs() {
	if folder := os.Getenv("PROOFS_KEEP"); folder != "" {
		_ = os.CopyFS(filepath.Join(folder, fix.t.Name()+time.Now().Format("-150405")), os.DirFS(fix.Folder))
	}
}

func timeoutContext(t *testing.T, span time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), span)
	t.Cleanup(cancel)
	return ctx
}

func configurationText(accounts ...testAccount) string {
	text := `
[[routes]]
name = "confirms"
service = "desk"
pathPrefix = "/confirms"
priority = 9
timeout = "5s"

[[routes]]
name = "quotes"
service = "desk"
pathPrefix = "/quotes"
priority = 5
idempotent = true
timeout = "5s"
`
	for _, acc := range accounts {
		hash, _ := keyhash.Of(acc.key).MarshalText()
		text += fmt.Sprintf("\n[[clientAccounts]]\nname = %q\nrate = %d\nburst = %d\nkeys = [%q]\n", acc.name, acc.rate, acc.burst, hash)
	}
	return text
}

func (fix fixture) operators(node int) operatorv1connect.OperatorServiceClient {
	return operatorv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+fix.Sites[node].Addresses.Operators.String())
}

func (fix fixture) patch(ctx context.Context, node int, base uint64, id, text string) (*operatorv1.PatchConfigurationResponse, error) {
	res, err := fix.operators(node).PatchConfiguration(ctx, connect.NewRequest(&operatorv1.PatchConfigurationRequest{Base: base, Id: id, Text: []byte(text)}))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

// patchUntilAccepted submits a patch until it is accepted. A new fleet refuses patches until its data centres have
// leaders. After an unknown result the patch is submitted again with the same ID.
func (fix fixture) patchUntilAccepted(node int, base uint64, accounts ...testAccount) {
	fix.t.Helper()
	ctx := timeoutContext(fix.t, startTimeout)
	id := uuid.NewString()
	for {
		res, err := fix.patch(ctx, node, base, id, configurationText(accounts...))
		require.NoError(fix.t, err)
		switch res.GetResult() {
		case operatorv1.Result_RESULT_ACCEPTED:
			return
		case operatorv1.Result_RESULT_REFUSED:
			id = uuid.NewString()
		default:
			require.Equal(fix.t, operatorv1.Result_RESULT_UNSPECIFIED, res.GetResult(), "%v", res)
		}
		time.Sleep(processfleet.PollInterval)
	}
}

// awaitServing waits until the nodes of the awaited sites have the version or a later one in force, and list as many
// serving backend servers as there are awaited sites.
func (fix fixture) awaitServing(version uint64, awaited ...*processfleet.Site) {
	fix.t.Helper()
	require.Eventually(fix.t, func() bool {
		for index, sit := range fix.Sites {
			if contains(awaited, sit) && !fix.serves(index, version, len(awaited)) {
				return false
			}
		}
		return true
	}, inForceBound, processfleet.PollInterval, "version %d is not in force, or not all backend servers are serving", version)
}

func contains(list []*processfleet.Site, want *processfleet.Site) bool {
	for _, sit := range list {
		if sit == want {
			return true
		}
	}
	return false
}

func (fix fixture) serves(node int, version uint64, serving int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	res, err := fix.operators(node).Status(ctx, connect.NewRequest(&operatorv1.StatusRequest{}))
	if err != nil || res.Msg.GetConfigurationVersion() < version {
		return false
	}
	for _, mem := range res.Msg.GetMembers() {
		if mem.GetState() == "serving" {
			serving--
		}
	}
	return serving == 0
}

// leads reports whether a node is the leader of the highest epoch in the logs of its data centre.
func (fix fixture) leads(node int) bool {
	var last struct {
		Epoch uint64 `json:"epoch"`
		Peer  string `json:"peer"`
	}
	highest := last
	for _, sit := range fix.Sites {
		if sit.DataCentre != fix.Sites[node].DataCentre {
			continue
		}
		for line := range strings.SplitSeq(sit.Node.Log(), "\n") {
			if strings.Contains(line, `"msg":"leader"`) && json.Unmarshal([]byte(line), &last) == nil && last.Epoch > highest.Epoch {
				highest = last
			}
		}
	}
	return highest.Peer == fix.Sites[node].Addresses.Peers.String()
}

// follower returns a node of the data centre that does not lead it.
func (fix fixture) follower(dataCentre string) int { return fix.find(dataCentre, false) }

func (fix fixture) leader(dataCentre string) int { return fix.find(dataCentre, true) }

func (fix fixture) find(dataCentre string, leads bool) int {
	fix.t.Helper()
	for index, sit := range fix.Sites {
		if sit.DataCentre == dataCentre && fix.leads(index) == leads {
			return index
		}
	}
	require.Fail(fix.t, "no such node in data centre "+dataCentre)
	return -1
}

// reply is what a caller sees of one call.
type reply struct {
	status  int
	outcome string
	reason  string
	callID  string
	reused  bool
	err     error
}

// succeeded reports whether the caller got a complete answer with status 200.
func (rep reply) succeeded() bool { return rep.err == nil && rep.status == http.StatusOK }

// client is a caller that sends all its calls on one connection.
type client struct {
	address netip.AddrPort
	http    *http.Client
}

func newClient(t *testing.T, address netip.AddrPort) *client {
	transport := &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
	t.Cleanup(transport.CloseIdleConnections)
	return &client{address: address, http: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// call sends a POST. If it has an idempotency key, its request ID is the same text, so that executions can be counted
// by key. The body has no GetBody, so that net/http does not resend a call with an idempotency key by itself when the
// connection fails.
func (cli *client) call(key, target, idempotencyKey string) reply {
	var rep reply
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		GotConn: func(inf httptrace.GotConnInfo) { rep.reused = inf.Reused },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+cli.address.String()+target, io.NopCloser(strings.NewReader("trade")))
	if err != nil {
		return reply{err: err}
	}
	req.ContentLength = int64(len("trade"))
	req.Header.Set(message.Authorization, "Bearer "+key)
	if idempotencyKey != "" {
		req.Header.Set(message.Idempotency, idempotencyKey)
		req.Header.Set(echo.RequestIDHeader, idempotencyKey)
	}
	res, err := cli.http.Do(req)
	if err != nil {
		rep.err = err
		return rep
	}
	defer func() { _ = res.Body.Close() }()
	_, rep.err = io.Copy(io.Discard, res.Body)
	rep.status = res.StatusCode
	rep.outcome, rep.reason, rep.callID = res.Header.Get(message.Outcome), res.Header.Get(message.Reason), res.Header.Get(message.CallID)
	return rep
}
