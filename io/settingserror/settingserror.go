package settingserror

import (
	"fmt"
	"strings"

	"flamingoreach/io/settingsproblem"
)

// Error lists all problems of one settings file in the order of their lines.
type Error struct {
	File     string                    `json:"file"`
	Problems []settingsproblem.Problem `json:"problems"`
}

// Error returns one line for each problem, as "file:line: key: text".
func (err *Error) Error() string {
	lines := make([]string, 0, len(err.Problems))
	for _, pro := range err.Problems {
		lines = append(lines, err.line(pro))
	}
	return strings.Join(lines, "\n")
}

func (err *Error) line(pro settingsproblem.Problem) string {
	position := err.File
	if pro.Line > 0 {
		position = fmt.Sprintf("%s:%d", err.File, pro.Line)
	}
	if pro.Key == "" {
		return position + ": " + pro.Text
	}
	return position + ": " + pro.Key + ": " + pro.Text
}
