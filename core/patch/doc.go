// Package patch coordinates one submission of a patch, from the operator's request to its result.
//
// It runs on the control thread of the node that received the operator's request, the coordinator. The row
// configuration/prepared is claimed before any data centre is asked, so patches are prepared one after the other,
// and a leader that starts later finds the pending patch in the table. One transaction on the table decides whether
// the patch is accepted. Submitting the same patch with the same ID again, at any node, resumes it or returns its
// result.
//
// The patch is accepted once each data centre has prepared it, is declared out or is isolated. Declared out means that
// an operator has marked it as out in the table. Isolated means that no leader in the store's region has granted it a
// lease for cutHold, so that its nodes refuse keyed calls.
package patch
