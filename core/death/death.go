package death

// Death holds the calls that may have ended a backend server's process.
type Death struct {
	// Suspects holds the fingerprints of these calls, each once.
	Suspects []uint64
	// Running is the number of calls that ran when the death was noticed, and Failed the number of calls that had failed
	// before and whose failure may have been the death.
	Running, Failed int
}
