package leasetrace

import "flamingoreach/core/replay"

// Register registers the inputs, ticks and effects of the lease module with a player, which replays a recorded trace
// and compares the effects of the module with the recorded ones.
func Register(pla *replay.Player) {
	rec := pla.Recorder()
	var lea *Lease
	replay.HandleInput(pla, created, func(nod node) {
		lea = New(nod.ID, nod.Address, rec)
		lea.RecordEffects()
	})
	replay.HandleInput(pla, members, func(ids []string) { lea.Members = func() []string { return ids } })
	replay.HandleInput(pla, rowRead, func(ent entry) { lea.RowRead(ent.Ticket, ent.Revision, ent.Leader) })
	replay.HandleInput(pla, readFailed, func(ticket uint64) { lea.ReadFailed(ticket) })
	replay.HandleInput(pla, written, func(ent entry) { lea.Written(ent.Ticket, ent.Revision) })
	replay.HandleInput(pla, conflicted, func(ticket uint64) { lea.Conflicted(ticket) })
	replay.HandleInput(pla, unknown, func(ticket uint64) { lea.Unknown(ticket) })
	replay.HandleInput(pla, epochSeen, func(epoch uint64) { lea.EpochSeen(epoch) })
	replay.HandleInput(pla, leaderHeard, func(epoch uint64) { lea.LeaderAnswered(epoch) })
	replay.HandleInput(pla, heard, func(ans answer) { lea.MemberAnswered(ans.Member, ans.Epoch, ans.Echo, ans.SinceLowerEpoch) })
	replay.HandleInput(pla, handOver, func(nod node) { lea.HandOver(nod.ID, nod.Address) })
	replay.HandleInput(pla, received, func(ent entry) { lea.ReceiveLeadership(ent.Leader, ent.Revision) })
	pla.HandleTick(module, func() { lea.Tick() })
	pla.CompareEffects(read, write, announce, lost, handedOver)
}
