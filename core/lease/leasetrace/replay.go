package leasetrace

import "flamingoreach/core/replay"

// Replay feeds the recorded inputs of a player to the module and compares its effects with the recorded ones.
func Replay(pla *replay.Player) {
	rec := pla.Recorder()
	var lea *Lease
	replay.Input(pla, created, func(nod node) {
		lea = New(nod.ID, nod.Address, rec)
		lea.RecordEffects()
	})
	replay.Input(pla, members, func(ids []string) { lea.Members = func() []string { return ids } })
	replay.Input(pla, rowRead, func(ent entry) { lea.RowRead(ent.Ticket, ent.Revision, ent.Leader) })
	replay.Input(pla, readFailed, func(ticket uint64) { lea.ReadFailed(ticket) })
	replay.Input(pla, written, func(ent entry) { lea.Written(ent.Ticket, ent.Revision) })
	replay.Input(pla, conflicted, func(ticket uint64) { lea.Conflicted(ticket) })
	replay.Input(pla, unknown, func(ticket uint64) { lea.Unknown(ticket) })
	replay.Input(pla, epochSeen, func(epoch uint64) { lea.EpochSeen(epoch) })
	replay.Input(pla, leaderHeard, func(epoch uint64) { lea.LeaderAnswered(epoch) })
	replay.Input(pla, heard, func(ans answer) { lea.MemberAnswered(ans.Member, ans.Epoch, ans.Echo, ans.Silence) })
	replay.Input(pla, handOver, func(nod node) { lea.HandOver(nod.ID, nod.Address) })
	replay.Input(pla, received, func(ent entry) { lea.ReceiveLeadership(ent.Leader, ent.Revision) })
	pla.Tick(module, func() { lea.Tick() })
	pla.Compare(read, write, announce, lost, handedOver)
}
