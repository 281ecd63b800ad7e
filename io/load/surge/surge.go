package surge

import "time"

// Surge multiplies the rate of every account by Factor for the duration Length, starting After the start of the run.
type Surge struct {
	Factor float64
	After  time.Duration
	Length time.Duration
}

// At returns the factor at an offset from the start of the run, and the offset at which the factor changes next; 0 means
// that it does not change again.
func (sur Surge) At(offset time.Duration) (float64, time.Duration) {
	switch {
	case sur.Length == 0 || offset >= sur.After+sur.Length:
		return 1, 0
	case offset >= sur.After:
		return sur.Factor, sur.After + sur.Length
	default:
		return 1, sur.After
	}
}
