package configurationfault

import "fmt"

// Fault names a field that is unknown, missing, of the wrong type or in contradiction to another one.
type Fault struct {
	// Line counts from 1; 0 means that the fault belongs to no line of a file.
	Line int `json:"line"`
	// Field is a path such as "routes[2].timeout".
	Field   string `json:"field"`
	Problem string `json:"problem"`
}

// String returns the line, the field and the problem in one line.
func (fau Fault) String() string {
	if fau.Line == 0 {
		return fmt.Sprintf("%s: %s", fau.Field, fau.Problem)
	}
	return fmt.Sprintf("line %d: %s: %s", fau.Line, fau.Field, fau.Problem)
}
