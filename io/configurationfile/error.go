package configurationfile

import (
	"strings"

	"flamingoreach/core/configurationfault"
)

// Error lists all faults of a file in the order of their lines.
type Error struct {
	File   string
	Faults []configurationfault.Fault
}

// Error returns the file's name followed by one line for each fault.
func (err *Error) Error() string {
	lines := []string{"decode configuration file " + err.File}
	for _, fau := range err.Faults {
		lines = append(lines, fau.String())
	}
	return strings.Join(lines, "\n")
}
