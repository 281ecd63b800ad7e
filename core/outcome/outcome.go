package outcome

// Outcome tells a caller whether its call ran.
type Outcome int

// The outcomes of a call. Unknown is the zero value, so that a missing outcome never promises anything.
const (
	// Unknown means that the call may have reached a backend server and its result is not known.
	Unknown Outcome = iota
	// NotRun means that no backend server received the call, or that the one that did refused it without running it.
	NotRun
	// Ran means that a backend server answered the call.
	Ran
)

var names = map[Outcome]string{Unknown: "unknown", NotRun: "notRun", Ran: "ran"}

// String returns the name that the outcome has in headers, logs and traces.
func (oc Outcome) String() string { return names[oc] }

// MarshalText encodes the outcome by its name.
func (oc Outcome) MarshalText() ([]byte, error) { return []byte(oc.String()), nil }

// UnmarshalText decodes a name; any name but "notRun" and "ran" becomes Unknown, which is safe because the call is
// then assumed to have run.
func (oc *Outcome) UnmarshalText(text []byte) error {
	*oc = Unknown
	for value, name := range names {
		if name == string(text) {
			*oc = value
		}
	}
	return nil
}
