package verdict

import "flamingoreach/core/departure"

// The sources of a verdict.
const (
	Nodes = "nodes"
	Store = "store"
	Probe = "probe"
	// None means that nobody has answered in time.
	None = "none"
)

// Verdict says whether a backend server may be taken into use.
type Verdict struct {
	// Decided is false if nobody knows of a departure or of its absence, and the backend server says that it does not serve.
	Decided bool
	// Found is set if Departure is the latest departure on the host, which may be that of another process.
	Found     bool
	Departure departure.Departure
	Source    string
}
