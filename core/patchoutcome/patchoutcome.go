package patchoutcome

// PatchOutcome is the outcome of a patch; once accepted or aborted in the table, it never changes.
type PatchOutcome string

// The outcomes of a patch in the table.
const (
	Undecided PatchOutcome = ""
	Accepted  PatchOutcome = "accepted"
	Aborted   PatchOutcome = "aborted"
)
