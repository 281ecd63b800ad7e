package death

// maxListed bounds the fingerprints that Fields lists.
const maxListed = 16

// Death holds the calls that may have ended a backend server's process.
type Death struct {
	// Suspects holds the fingerprints of these calls' variants, each once.
	Suspects []uint64
	// Running is the number of calls that ran when the death was noticed, and Failed the number of calls that had failed
	// before and whose failure may have been the death.
	Running, Failed int
}

// Fields returns the names and values of a log line about the death.
func (dea Death) Fields() []any {
	return []any{
		"suspects", len(dea.Suspects), "fingerprints", dea.Suspects[:min(len(dea.Suspects), maxListed)],
		"running", dea.Running, "failedBefore", dea.Failed,
	}
}
