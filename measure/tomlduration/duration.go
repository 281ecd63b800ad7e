package tomlduration

import "time"

// Duration is a time.Duration that is written in TOML as a string such as "60ms".
type Duration struct{ time.Duration }

// UnmarshalText parses a string such as "60ms" with time.ParseDuration.
func (dur *Duration) UnmarshalText(text []byte) error {
	span, err := time.ParseDuration(string(text))
	dur.Duration = span
	return err
}
