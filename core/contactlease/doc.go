// Package contactlease tracks, at the leader, which of the contact leases that it has granted may still be valid.
//
// The holder counts its lease from the sending of its heartbeat, the leader from the sending of its answer, which is
// later. So a lease that has expired at the leader has expired at its holder.
package contactlease
