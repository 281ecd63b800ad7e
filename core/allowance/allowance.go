package allowance

import "sync"

// Allowance is the number of extra attempts that one call and its deeper calls may still make.
type Allowance struct {
	mut  sync.Mutex
	left int
}

// New returns an allowance of the given number of extra attempts.
func New(attempts int) *Allowance { return &Allowance{left: max(attempts, 0)} }

// Spend takes one extra attempt and reports whether there was one.
func (alw *Allowance) Spend() bool {
	alw.mut.Lock()
	defer alw.mut.Unlock()
	if alw.left == 0 {
		return false
	}
	alw.left--
	return true
}

// Lend takes the larger half of the extra attempts for a deeper call and returns their number.
func (alw *Allowance) Lend() int {
	alw.mut.Lock()
	defer alw.mut.Unlock()
	lent := (alw.left + 1) / 2
	alw.left -= lent
	return lent
}

// LendAllButOne takes all extra attempts but one for an attempt at the call, and returns their number.
func (alw *Allowance) LendAllButOne() int {
	alw.mut.Lock()
	defer alw.mut.Unlock()
	lent := max(alw.left-1, 0)
	alw.left -= lent
	return lent
}

// Return adds the lent extra attempts that were not spent.
func (alw *Allowance) Return(unspent int) {
	alw.mut.Lock()
	defer alw.mut.Unlock()
	alw.left += max(unspent, 0)
}

// Left returns the number of extra attempts that are neither spent nor lent.
func (alw *Allowance) Left() int {
	alw.mut.Lock()
	defer alw.mut.Unlock()
	return alw.left
}
