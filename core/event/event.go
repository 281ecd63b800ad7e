package event

// Event is one input of the control thread. A trace records its name and data; a replay finds the function to apply by
// the name.
type Event struct {
	// Name has the form "module.input" in camel case, such as "lease.rowRead".
	Name string
	// Data is the input's data, which must be encodable as JSON, or nil.
	Data any
	// Apply changes control state and must not block.
	Apply func()
}
