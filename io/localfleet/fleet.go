package localfleet

import (
	"context"
	"errors"
	"net/netip"
	"path/filepath"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"flamingoreach/core/view"
	"flamingoreach/io/fleetauthority"
	"flamingoreach/io/localfleet/site"
	"flamingoreach/io/node"
	"flamingoreach/io/settingsfile"
	"flamingoreach/io/standinbackendserver"
	"flamingoreach/io/standinplatform"
)

const (
	pollInterval    = 20 * time.Millisecond
	platformTimeout = 2 * time.Second
	bodyBytes       = 1 << 20
)

// Fleet is a running fleet.
type Fleet struct {
	Platform *standinplatform.Platform
	Nodes    []*node.Node
	// BackendServers[i] is the backend server of Nodes[i].
	BackendServers []*standinbackendserver.BackendServer

	// tlsFolder is the folder with the certificate that all nodes use; if empty, they use cleartext.
	tlsFolder string

	log   *log.Logger
	sites []site.Site
	mutex sync.Mutex
	stops []context.CancelFunc
	ended []chan error
}

// Start runs a node with its backend server for each site that is not deferred. The platform's store is in the region of
// the first site.
func Start(ctx context.Context, sites []site.Site, logger *log.Logger) (*Fleet, error) {
	return StartTLS(ctx, sites, logger, "")
}

// StartTLS is like Start, with nodes that authenticate each other with the certificate in the given folder.
func StartTLS(ctx context.Context, sites []site.Site, logger *log.Logger, folder string) (*Fleet, error) {
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	platform, err := standinplatform.New(anyPort, anyPort, anyPort)
	if err != nil {
		return nil, err
	}
	fle := &Fleet{Platform: platform, log: logger, tlsFolder: folder, sites: sites}
	for _, sit := range sites {
		if sit.Deferred {
			continue
		}
		if err := fle.add(ctx, sit, fle.settings(sit)); err != nil {
			return nil, errors.Join(err, fle.Close(ctx))
		}
	}
	return fle, nil
}

// StartDeferred starts all deferred sites concurrently. Their seeds are the nodes that ran before.
func (fle *Fleet) StartDeferred(ctx context.Context) error {
	joined := make(chan error, len(fle.sites))
	started := 0
	for _, sit := range fle.sites {
		if !sit.Deferred {
			continue
		}
		set := fle.settings(sit)
		started++
		go func() { joined <- fle.add(ctx, sit, set) }()
	}
	var errs []error
	for range started {
		errs = append(errs, <-joined)
	}
	return errors.Join(errs...)
}

func (fle *Fleet) add(ctx context.Context, sit site.Site, set settingsfile.Settings) error {
	nod, err := node.New(set, fle.log)
	if err != nil {
		return err
	}
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	ended := make(chan error, 1)
	go func() { ended <- nod.Run(run) }()
	select {
	case <-nod.Ready():
	case err := <-ended:
		stop()
		return eris.Wrap(err, "start node")
	}
	bas, err := standinbackendserver.New(sit.Service, sit.Behaviour)
	if err != nil {
		stop()
		return errors.Join(err, <-ended)
	}
	bas.NodeAddress = nod.Addresses().BackendServer
	fle.addRunning(nod, bas, stop, ended)
	return bas.Start(ctx, netip.MustParseAddrPort("127.0.0.1:0"))
}

func (fle *Fleet) addRunning(nod *node.Node, bas *standinbackendserver.BackendServer, stop context.CancelFunc, ended chan error) {
	fle.mutex.Lock()
	defer fle.mutex.Unlock()
	fle.Nodes = append(fle.Nodes, nod)
	fle.BackendServers = append(fle.BackendServers, bas)
	fle.stops = append(fle.stops, stop)
	fle.ended = append(fle.ended, ended)
}

func (fle *Fleet) settings(sit site.Site) settingsfile.Settings {
	fle.mutex.Lock()
	defer fle.mutex.Unlock()
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	var set settingsfile.Settings
	set.Node.Host = anyPort.Addr()
	set.Node.Region = sit.Region
	set.Node.DataCentre = sit.DataCentre
	set.Node.Service = sit.Service
	set.Listen.Callers, set.Listen.BackendServer = anyPort, anyPort
	set.Listen.Peers, set.Listen.Operators = anyPort, anyPort
	set.Platform.Table = fle.Platform.TableAddress()
	set.Platform.Objects = fle.Platform.ObjectAddress()
	set.Platform.TableName = settingsfile.DefaultTableName
	set.Platform.Bucket = settingsfile.DefaultBucket
	set.Platform.AccessKeyID, set.Platform.SecretAccessKey = "local", "local"
	set.Platform.Timeout = platformTimeout
	set.Limits.BodyBytes = bodyBytes
	set.Limits.HeaderBytes = settingsfile.DefaultHeaderBytes
	set.Limits.Connections = settingsfile.DefaultConnections
	set.Limits.HeaderTime = settingsfile.DefaultHeaderTime
	set.Limits.IdleTime = settingsfile.DefaultIdleTime
	level := fle.log.GetLevel()
	set.Logs.Level, set.Logs.Caller, set.Logs.Peer = level, level, level
	set.Logs.Gate, set.Logs.Control, set.Logs.Platform = level, level, level
	set.Fleet.LinkBytes = settingsfile.DefaultLinkBytes
	set.Fleet.StoreRegion = fle.sites[0].Region
	set.Fleet.DataCentres = map[string]string{}
	for _, other := range fle.sites {
		set.Fleet.DataCentres[other.DataCentre] = other.Region
	}
	if fle.tlsFolder != "" {
		set.TLS.Authority = filepath.Join(fle.tlsFolder, fleetauthority.AuthorityFile)
		set.TLS.Certificate = filepath.Join(fle.tlsFolder, fleetauthority.CertificateFile)
		set.TLS.Key = filepath.Join(fle.tlsFolder, fleetauthority.KeyFile)
	}
	for _, nod := range fle.Nodes {
		set.Seeds.Peers = append(set.Seeds.Peers, nod.Addresses().Peers)
	}
	return set
}

// Await waits until the view of every node satisfies a condition. It fails with the context's error.
func (fle *Fleet) Await(ctx context.Context, condition func(vie *view.View) bool) error {
	for {
		all := true
		for _, nod := range fle.Nodes {
			all = all && condition(nod.View())
		}
		if all {
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "wait for all nodes")
		}
	}
}

// AwaitServing waits until every node has at least the given configuration version and knows as many serving members as
// the fleet has nodes.
func (fle *Fleet) AwaitServing(ctx context.Context, version uint64) error {
	return fle.Await(ctx, func(vie *view.View) bool {
		serving := 0
		for _, mem := range vie.Members {
			if mem.State == "serving" {
				serving++
			}
		}
		return vie.Configuration != nil && vie.Configuration.Version >= version && serving == len(fle.Nodes)
	})
}

// StopNode stops one node, which drains, and waits until it has ended.
func (fle *Fleet) StopNode(index int) error {
	fle.stops[index]()
	err := <-fle.ended[index]
	fle.ended[index] <- err
	return err
}

// Close stops the backend servers, the nodes and the platform, in this order, and returns all errors joined.
func (fle *Fleet) Close(ctx context.Context) error {
	var errs []error
	closed := make(chan error, len(fle.BackendServers))
	for _, bas := range fle.BackendServers {
		go func() { closed <- bas.Close(ctx) }()
	}
	for range fle.BackendServers {
		errs = append(errs, <-closed)
	}
	for _, stop := range fle.stops {
		stop()
	}
	for _, ended := range fle.ended {
		errs = append(errs, <-ended)
	}
	return errors.Join(append(errs, fle.Platform.Close())...)
}
