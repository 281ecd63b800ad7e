package processfleet

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"flamingoreach/io/echo"
	"flamingoreach/io/nodeaddresses"
	"flamingoreach/io/standinplatform/faults"
	"flamingoreach/proofs/loopback"
	"flamingoreach/proofs/process"
)

// PollInterval is the time between two checks of a condition.
const PollInterval = 20 * time.Millisecond

// Fleet is a set of processes; Close ends all of them.
type Fleet struct {
	// Program is the path of the binary. Folder receives settings, logs, records of executions and traces.
	Program string
	Folder  string
	// Record makes each node record a trace.
	Record   bool
	Platform *process.Process
	Sites    []*Site

	platform platformAddresses
	starts   int
}

// Site is a node with its backend server.
type Site struct {
	Name       string
	Region     string
	DataCentre string
	Service    string
	Node       *process.Process
	Backend    *process.Process
	// Addresses are the node's; they stay the same when it is restarted.
	Addresses nodeaddresses.Addresses
	// Traces lists the trace files, one for each start of the node.
	Traces []string

	// host is the loopback address on which only this node listens.
	host netip.Addr
}

type platformAddresses struct {
	Table   netip.AddrPort `json:"table"`
	Object  netip.AddrPort `json:"object"`
	Control netip.AddrPort `json:"control"`
}

// Start starts the platform and all sites. The region of the first site is the region of the store. It fails if a
// process cannot be started, or if a process or the context ends before the process has written its addresses.
func (fle *Fleet) Start(ctx context.Context, sites ...*Site) error {
	var err error
	fle.Platform, err = process.Start(ctx, filepath.Join(fle.Folder, "platform"), fle.Program, "standin", "platform")
	if err != nil {
		return err
	}
	if err := fle.Platform.AwaitLine(ctx, "table", &fle.platform); err != nil {
		return err
	}
	fle.Sites = sites
	for _, sit := range sites {
		if err := fle.StartNode(ctx, sit); err != nil {
			return err
		}
		if err := fle.StartBackend(ctx, sit); err != nil {
			return err
		}
	}
	return nil
}

// StartNode starts a site's node. Its seeds, the peers that it contacts first, are the nodes of the other sites that
// have started. A restarted node gets the same addresses as before. It fails as Start does.
func (fle *Fleet) StartNode(ctx context.Context, sit *Site) error {
	var seeds []string
	for _, other := range fle.Sites {
		if other != sit && other.Addresses.Peers.IsValid() {
			seeds = append(seeds, fmt.Sprintf("%q", other.Addresses.Peers))
		}
	}
	return fle.startNode(ctx, sit, seeds)
}

// StartNodeWithoutSeeds starts a site's node without the address of any peer. It fails as Start does.
func (fle *Fleet) StartNodeWithoutSeeds(ctx context.Context, sit *Site) error {
	return fle.startNode(ctx, sit, nil)
}

func (fle *Fleet) startNode(ctx context.Context, sit *Site, seeds []string) error {
	fle.starts++
	if !sit.host.IsValid() {
		sit.host = loopback.NewHost()
	}
	file := fle.file(sit, "node")
	settings := file + ".toml"
	if err := os.WriteFile(settings, []byte(fle.settings(sit, seeds)), 0o600); err != nil {
		return eris.Wrapf(err, "write settings of %s", sit.Name)
	}
	arguments := []string{"node", "--settings", settings}
	if fle.Record {
		sit.Traces = append(sit.Traces, file+".trace")
		arguments = append(arguments, "--record", file+".trace")
	}
	pro, err := process.Start(ctx, file, fle.Program, arguments...)
	if err != nil {
		return err
	}
	sit.Node = pro
	return pro.AwaitLine(ctx, "callers", &sit.Addresses)
}

// StartBackend starts the backend server of a site. It fails as Start does.
func (fle *Fleet) StartBackend(ctx context.Context, sit *Site) error {
	fle.starts++
	pro, err := process.Start(ctx, fle.file(sit, "backend"), fle.Program, "standin", "backend",
		"--node", sit.Addresses.BackendServer.String(), "--service", sit.Service, "--slots", "32",
		"--recordFile", fle.executionsFile(sit))
	if err != nil {
		return err
	}
	sit.Backend = pro
	var line struct {
		Address netip.AddrPort `json:"address"`
	}
	return pro.AwaitLine(ctx, "address", &line)
}

func (fle *Fleet) file(sit *Site, kind string) string {
	return filepath.Join(fle.Folder, fmt.Sprintf("%s-%s-%d", sit.Name, kind, fle.starts))
}

func (fle *Fleet) executionsFile(sit *Site) string {
	return filepath.Join(fle.Folder, sit.Name+".executions")
}

// Executions returns the executions that the backend servers of all sites recorded, including servers that were killed.
// It fails if a record cannot be read or decoded.
func (fle *Fleet) Executions() ([]echo.Echo, error) {
	var all []echo.Echo
	for _, sit := range fle.Sites {
		text, err := os.ReadFile(fle.executionsFile(sit))
		if err != nil {
			return nil, eris.Wrapf(err, "read executions of %s", sit.Name)
		}
		scanner := bufio.NewScanner(bytes.NewReader(text))
		for scanner.Scan() {
			var ech echo.Echo
			if err := json.Unmarshal(scanner.Bytes(), &ech); err != nil {
				return nil, eris.Wrapf(err, "decode execution of %s", sit.Name)
			}
			all = append(all, ech)
		}
	}
	return all, nil
}

// SetFaults replaces the faults that the stand-in for the platform injects. It fails if the stand-in does not answer.
func (fle *Fleet) SetFaults(ctx context.Context, fau faults.Faults) error {
	text, err := json.Marshal(fau)
	if err != nil {
		return eris.Wrap(err, "encode faults")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+fle.platform.Control.String()+"/faults", bytes.NewReader(text))
	if err != nil {
		return eris.Wrap(err, "build request for faults")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "set faults")
	}
	return res.Body.Close()
}

// Close kills all processes and waits until they have ended.
func (fle *Fleet) Close() {
	for _, sit := range fle.Sites {
		for _, pro := range []*process.Process{sit.Backend, sit.Node} {
			if pro != nil {
				pro.Kill()
			}
		}
	}
	if fle.Platform != nil {
		fle.Platform.Kill()
	}
}

// Drain stops all nodes at the same time by SIGTERM, so that their traces are complete. It returns the errors of
// process.Process.Stop for all nodes.
func (fle *Fleet) Drain(ctx context.Context) error {
	ended := make(chan error, len(fle.Sites))
	for _, sit := range fle.Sites {
		go func() { ended <- sit.Node.Stop(ctx) }()
	}
	var errs []error
	for range fle.Sites {
		errs = append(errs, <-ended)
	}
	return errors.Join(errs...)
}

func (fle *Fleet) settings(sit *Site, seeds []string) string {
	address := func(number uint16) string { return netip.AddrPortFrom(sit.host, loopback.FirstPort+number).String() }
	var dataCentres strings.Builder
	written := map[string]bool{}
	for _, other := range append([]*Site{sit}, fle.Sites...) {
		if !written[other.DataCentre] {
			written[other.DataCentre] = true
			_, _ = fmt.Fprintf(&dataCentres, "%s = %q\n", other.DataCentre, other.Region)
		}
	}
	return fmt.Sprintf(`[node]
host = %q
region = %q
dataCentre = %q
service = %q
[listen]
callers = %q
backendServer = %q
peers = %q
operators = %q
[platform]
table = %q
objects = %q
accessKeyId = "local"
secretAccessKey = "local"
[seeds]
peers = [%s]
[fleet]
storeRegion = %q
[fleet.dataCentres]
%s`, sit.host, sit.Region, sit.DataCentre, sit.Service,
		address(0), address(1), address(2), address(3),
		fle.platform.Table, fle.platform.Object, strings.Join(seeds, ", "), fle.Sites[0].Region, dataCentres.String())
}
