package plan

import (
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"flamingoreach/io/load/account"
	"flamingoreach/io/load/kind"
	"flamingoreach/io/load/retrypolicy"
	"flamingoreach/io/load/surge"
)

// The defaults and bounds of a plan.
const (
	DefaultRequests    = 10_000
	DefaultDuration    = 10 * time.Second
	DefaultConnections = 64
	DefaultDeadline    = time.Second
	DefaultBackoff     = 50 * time.Millisecond
	DefaultJitter      = 0.5

	maxRequests    = 5_000_000
	maxConnections = 10_000
	maxAttempts    = 100
	maxBodyBytes   = 16 << 20
)

// Plan describes one run of the load generator and its bounds.
type Plan struct {
	// Seed makes the arrivals, the mix and the jitter of retries reproducible; request IDs are new in each run.
	Seed uint64
	// Targets are the addresses at which nodes serve callers; all must be on loopback.
	Targets []netip.AddrPort
	// Records are the addresses of stand-in backend servers; their execution records are read after the run and compared
	// with the answers.
	Records []netip.AddrPort
	// Requests and Duration bound the run; no request starts after the first of the two bounds is reached.
	Requests int
	Duration time.Duration
	// Connections bounds the number of open connections to all targets together.
	Connections int
	// Deadline counts from the scheduled start of each request.
	Deadline time.Duration
	// HTTP2 selects cleartext HTTP/2 instead of HTTP/1.1.
	HTTP2    bool
	Surge    surge.Surge
	Retry    retrypolicy.RetryPolicy
	Accounts []account.Account
	Kinds    []kind.Kind
}

// Read reads a plan from a file; it fails with a *settingserror.Error that lists all problems, or with the read error.
func Read(file string) (Plan, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Plan{}, eris.Wrapf(err, "read load plan %s", file)
	}
	return Decode(file, text)
}

// Check fails if any setting is out of bounds or any target is not a loopback address, and lists all of them.
func (pla *Plan) Check() error {
	var texts []string
	for _, pro := range pla.problems() {
		texts = append(texts, pro.key+": "+pro.text)
	}
	if len(texts) == 0 {
		return nil
	}
	return eris.New("load plan: " + strings.Join(texts, "; "))
}
