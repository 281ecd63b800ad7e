package clients_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/platform/standin"
	"flamingoreach/proofs/loopback"
	"flamingoreach/proofs/process"
)

const (
	hostName = "answers.example"
	key      = "6wsjnbanfqasnmgkcuyj"
	// largestBodyBytes is maxBodyBytes of the configuration.
	largestBodyBytes = 64 << 20
	idleTimeout      = 4 * time.Second
	routeTimeout     = 10 * time.Second
	// startTimeout and answerTimeout only end a test that hangs.
	startTimeout   = 30 * time.Second
	answerTimeout  = 30 * time.Second
	pollInterval   = 50 * time.Millisecond
	sampleInterval = 5 * time.Millisecond
	// fileDescriptors are those of maxFds that the platform keeps for files.
	fileDescriptors = 200
)

const (
	callersPort = loopback.FirstPort + iota
	readyPort
	controlPort
	backendPort
	storePort
	peersPort
)

var program string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the node without the race detector, which multiplies the memory that a process takes.
func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "flamingoreach")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	program = filepath.Join(folder, "flamingoreach-host")
	text, err := exec.CommandContext(context.Background(), "go", "build", "-o", program, "flamingoreach/cmd/flamingoreach-host").CombinedOutput()
	if err != nil {
		fmt.Fprintln(os.Stderr, err, string(text))
		return 1
	}
	return m.Run()
}

// limits are the limits of each node's process.
type limits struct{ memoryMB, descriptors int }

// host is a node process with its backend server.
type host struct {
	*process.Process
	callers netip.AddrPort
	backend *backend
	// peakBytes and peakDescriptors are the most that the process was seen to hold.
	peakBytes, peakDescriptors atomic.Int64
}

// fleet is two hosts, of the services quotes and confirms, and the store that they use.
type fleet struct {
	*testing.T
	limits limits
	hosts  []*host
}

// startFleet starts the hosts with the given limits, which the test checks at its end.
func startFleet(t *testing.T, lim limits) *fleet {
	fle := &fleet{T: t, limits: lim}
	store := standin.NewStore()
	store.PutConfiguration([]byte(configuration()))
	storeAddress := netip.AddrPortFrom(loopback.NewHost(), storePort)
	serve(t, storeAddress, store.NewEndpoint())
	for _, service := range []string{"quotes", "confirms"} {
		fle.hosts = append(fle.hosts, fle.startHost(service, storeAddress))
	}
	for _, hos := range fle.hosts {
		require.Eventually(t, func() bool {
			return fle.ask(hos, "/quotes/?bytes=100") == nil && fle.ask(hos, "/confirms/?bytes=100") == nil
		},
			startTimeout, pollInterval)
	}
	return fle
}

func (fle *fleet) startHost(service string, store netip.AddrPort) *host {
	address, folder := loopback.NewHost(), fle.TempDir()
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(address, port) }
	hos := &host{callers: at(callersPort), backend: &backend{BackendServer: &standin.BackendServer{
		Service: service, Address: at(backendPort), Announcements: at(controlPort), OnExecute: func(standin.Execution) {},
	}}}
	hos.backend.Restart()
	serve(fle.T, at(backendPort), hos.backend)
	text := standin.Settings(standin.Host{
		Name: service, Address: address, DataCentre: "dc", Service: service, StopTime: time.Second,
		Callers: callersPort, Ready: readyPort, Announcements: controlPort, BackendServer: backendPort, Store: storePort, Peers: peersPort,
	})
	text = strings.Replace(text, "memoryMb = 256", fmt.Sprintf("memoryMb = %d\nmaxFds = %d", fle.limits.memoryMB, fle.limits.descriptors), 1)
	text = strings.Replace(text, at(storePort).String(), store.String(), 1)
	settings := filepath.Join(folder, "settings.toml")
	require.NoError(fle, os.WriteFile(settings, []byte(text), 0o600))
	pro, err := process.Start(fle.Context(), filepath.Join(folder, "node"), program, "node", "--settings", settings)
	require.NoError(fle, err)
	hos.Process = pro
	ctx, cancel := context.WithCancel(context.Background())
	var watching sync.WaitGroup
	watching.Go(func() { hos.backend.Announce(ctx) })
	watching.Go(func() { hos.sample(ctx) })
	fle.Cleanup(func() {
		cancel()
		watching.Wait()
		pro.Kill()
	})
	return hos
}

// serve serves HTTP at an address until the end of the test.
func serve(t *testing.T, address netip.AddrPort, handler http.Handler) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address.String())
	require.NoError(t, err)
	server, served := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}, make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
}

func configuration() string {
	var rows []string
	for _, service := range []string{"quotes", "confirms"} {
		rows = append(rows, fmt.Sprintf(`[%q,%q,"/%s/",%q,"idempotent",%d,1500,1,2,false]`,
			service, hostName, service, service, routeTimeout.Milliseconds()))
	}
	return fmt.Sprintf(`{"version":"00000001","routes":{"columns":["name","hostname","prefix","service","kind","timeoutMs","targetLatencyMs",`+
		`"priority","maxAttempts","public"],"rows":[%s]},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":%d,"headerTimeoutMs":3000,"idleTimeoutMs":%d},`+
		`"tenants":{"columns":["name","apiKeys","ratePerS","burst"],"rows":[["tenant",[%q],0,0]]}}`,
		strings.Join(rows, ","), largestBodyBytes, idleTimeout.Milliseconds(), key)
}

// sample records the peaks of memory and descriptors until the process ends. Only anonymous memory counts, so that the pages
// of the program's file do not.
func (hos *host) sample(ctx context.Context) {
	folder := fmt.Sprintf("/proc/%d/", hos.PID())
	for ticker := time.NewTicker(sampleInterval); ctx.Err() == nil && hos.Alive(); <-ticker.C {
		hos.peakBytes.Store(max(hos.peakBytes.Load(), anonymousBytes(folder+"status")))
		if open, err := os.ReadDir(folder + "fd"); err == nil {
			hos.peakDescriptors.Store(max(hos.peakDescriptors.Load(), int64(len(open))))
		}
	}
}

func anonymousBytes(file string) int64 {
	text, err := os.ReadFile(file)
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, found := strings.CutPrefix(line, "RssAnon:"); found {
			kilobytes, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// requireContained checks that each process lives within its limits and answers an ordinary request at both services. A
// client that is refused as not run asks again.
func (fle *fleet) requireContained() {
	fle.Helper()
	for _, hos := range fle.hosts {
		for _, path := range []string{"/quotes/?bytes=1000", "/confirms/?bytes=1000"} {
			require.Eventually(fle, func() bool { return fle.ask(hos, path) == nil }, answerTimeout, pollInterval, "an ordinary request is answered")
		}
	}
	for _, hos := range fle.hosts {
		fle.Logf("%s: peak of %d MB and %d descriptors", hos.backend.Service, hos.peakBytes.Load()>>20, hos.peakDescriptors.Load())
		require.True(fle, hos.Alive(), "the process lives")
		require.LessOrEqual(fle, hos.peakBytes.Load(), int64(fle.limits.memoryMB)<<20, "memory of %s", hos.backend.Service)
		require.LessOrEqual(fle, hos.peakDescriptors.Load(), int64(fle.limits.descriptors-fileDescriptors), "descriptors of %s", hos.backend.Service)
	}
}

// ask sends one ordinary request on a connection of its own; it fails unless the answer is whole.
func (fle *fleet) ask(hos *host, path string) error {
	con, err := dial(fle.Context(), hos)
	if err != nil {
		return err
	}
	defer func() { _ = con.Close() }()
	if err := con.SetDeadline(time.Now().Add(routeTimeout)); err != nil {
		return err
	}
	if _, err := con.Write([]byte(head("GET", path, 0))); err != nil {
		return err
	}
	_, err = con.receive()
	return err
}

// client is a connection of a client.
type client struct {
	net.Conn
	host   *host
	reader *bufio.Reader

	// mut guards Conn against a Close on another goroutine.
	mut    sync.Mutex
	closed bool
}

// Close closes the connection for good.
func (cli *client) Close() error {
	cli.mut.Lock()
	defer cli.mut.Unlock()
	cli.closed = true
	return cli.Conn.Close()
}

// dial connects with a small receive buffer, so that an answer that is not read stays with its sender.
func dial(ctx context.Context, hos *host) (*client, error) {
	con, err := (&net.Dialer{Timeout: routeTimeout}).DialContext(ctx, "tcp", hos.callers.String())
	if err != nil {
		return nil, err
	}
	if err := con.(*net.TCPConn).SetReadBuffer(receiveBufferBytes); err != nil {
		return nil, err
	}
	return &client{host: hos, Conn: con, reader: bufio.NewReader(con)}, nil
}

// dialAgain closes the connection and opens another one.
func (cli *client) dialAgain(ctx context.Context) error {
	next, err := dial(ctx, cli.host)
	if err != nil {
		return err
	}
	cli.mut.Lock()
	defer cli.mut.Unlock()
	_ = cli.Conn.Close()
	if cli.closed {
		return next.Conn.Close()
	}
	cli.Conn, cli.reader = next.Conn, next.reader
	return nil
}

// head returns the head of a request with a body of the given length, or with a chunked body if it is negative.
func head(method, path string, length int64) string {
	framing := fmt.Sprintf("Content-Length: %d", length)
	if length < 0 {
		framing = "Transfer-Encoding: chunked"
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: id-%d\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s\r\n\r\n",
		method, path, hostName, requests.Add(1), routeTimeout.Milliseconds(), key, framing)
}

// requests counts the requests, which gives each an ID of its own.
var requests atomic.Int64

// receive reads a whole answer and returns the length of its body; it fails if the answer is cut, is not 200 or has bytes
// of another body.
func (cli *client) receive() (int64, error) {
	res, err := http.ReadResponse(cli.reader, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d, retry after %q", res.StatusCode, res.Header.Get("Retry-After"))
	}
	return readPattern(res.Body)
}
