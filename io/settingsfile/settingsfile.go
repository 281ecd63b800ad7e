package settingsfile

import (
	"net/netip"
	"os"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"flamingoreach/core/keyhash"
)

// The defaults of settings that a file may leave out.
const (
	DefaultPlatformTimeout = 2 * time.Second
	DefaultBodyBytes       = 1 << 20
	DefaultHeaderBytes     = 32 << 10
	DefaultConnections     = 4096
	DefaultHeaderTime      = 5 * time.Second
	DefaultIdleTime        = 2 * time.Minute
	DefaultLinkBytes       = 3_750_000 // bytes per second: 30 Mbit/s
	DefaultTableName       = "flamingoreach"
	DefaultBucket          = "flamingoreach"

	defaultCallersPort       = 8080
	defaultBackendServerPort = 8081
	defaultPeersPort         = 8082
	defaultOperatorsPort     = 8083
)

// Settings holds what a node reads from its settings file when it starts.
type Settings struct {
	Node struct {
		Host       netip.Addr
		Region     string
		DataCentre string
		Service    string
	}
	// Listen holds the addresses to bind; port 0 lets the system choose.
	Listen struct {
		Callers       netip.AddrPort
		BackendServer netip.AddrPort
		Peers         netip.AddrPort
		Operators     netip.AddrPort
	}
	Platform struct {
		Table           netip.AddrPort
		Objects         netip.AddrPort
		TableName       string
		Bucket          string
		AccessKeyID     string
		SecretAccessKey string
		Timeout         time.Duration
	}
	Seeds struct {
		// Peers are the addresses for peers of the nodes that this node contacts first; it may be empty.
		Peers []netip.AddrPort
	}
	Limits struct {
		// BodyBytes bounds the body of a call and the body of a backend server's answer.
		BodyBytes int
		// HeaderBytes bounds the header of a request.
		HeaderBytes int
		// Connections bounds the open connections of each listener.
		Connections int
		// HeaderTime bounds the time to read the header of a request, IdleTime the time between two requests of a
		// connection.
		HeaderTime time.Duration
		IdleTime   time.Duration
	}
	Fleet struct {
		// StoreRegion is the region that the platform's table service and object store are in.
		StoreRegion string
		// LinkBytes is a rate: the capacity, in bytes per second and in each direction, of the link between regions
		// that all nodes of a region share.
		LinkBytes int
		// DataCentres maps each data centre to its region.
		DataCentres map[string]string
	}
	// TLS names the files for the connections between nodes; all are set or none.
	TLS struct {
		Authority   string
		Certificate string
		Key         string
	}
	Operators struct {
		// TokenHashes holds the hashes of the operators' tokens. It may be empty only if Listen.Operators is a loopback address; calls then
		// need no token.
		TokenHashes []keyhash.Hash
	}
	// Logs holds the lowest level that each layer logs; it defaults to Level.
	Logs struct {
		Level    log.Level
		Caller   log.Level
		Peer     log.Level
		Gate     log.Level
		Control  log.Level
		Platform log.Level
	}
	Record struct {
		// File is the file that the trace of control events is written to; if it is empty, no trace is recorded.
		File string
	}
}

// Read reads and decodes a settings file. It fails with a *settingserror.Error that lists all problems, or with the error of reading the file.
func Read(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, eris.Wrapf(err, "read settings %s", file)
	}
	return Decode(file, text)
}
