package configurationleader

import (
	"time"

	"flamingoreach/core/contactlease"
	"flamingoreach/core/fence"
	"flamingoreach/core/heartbeat"
	"flamingoreach/core/heartbeatreply"
	"flamingoreach/core/prepare"
	"flamingoreach/core/prepared"
	"flamingoreach/core/versionid"
)

// ReceiveHeartbeat answers a heartbeat of a node in this data centre. The reply also says how long ago the leader last
// had contact with the store's region: 0 if it is in that region itself.
func (lea *Leader) ReceiveHeartbeat(hea heartbeat.Heartbeat) heartbeatreply.HeartbeatReply {
	leading := lea.leading()
	rep := lea.reply(hea, leading, lea.nodeLeases)
	if lea.dataCentre.StoreRegion {
		rep.InStoreRegionContact = true
	} else if !lea.regionContact.IsZero() {
		rep.InStoreRegionContact = true
		rep.StoreRegionAge = time.Since(lea.regionContact)
	}
	return rep
}

// ReceiveRegionHeartbeat answers a heartbeat of the leader of another data centre; only leaders in the store's region renew
// the contact lease that regionLeases holds for that data centre.
func (lea *Leader) ReceiveRegionHeartbeat(hea heartbeat.Heartbeat) heartbeatreply.HeartbeatReply {
	return lea.reply(hea, lea.leading() && lea.dataCentre.StoreRegion, lea.regionLeases)
}

// reply learns the versions in the heartbeat and answers with those that the leader knows. It renews the sender's contact
// lease in leases if mayRenew is set, the table has been read in this epoch, and the sender enforces all that the leader
// knows.
func (lea *Leader) reply(hea heartbeat.Heartbeat, mayRenew bool, leases *contactlease.Granter) heartbeatreply.HeartbeatReply {
	lea.view.Learn(hea.Current, hea.Prepared)
	rep := heartbeatreply.HeartbeatReply{
		Sequence: hea.Sequence,
		Current:  lea.view.KnownCurrent(),
		Prepared: lea.view.KnownPrepared(),
	}
	if lea.view.Aborted(hea.Prepared) {
		rep.Aborted = hea.Prepared
	}
	rep.NeedsFullVersion = hea.Version > rep.Current.Version
	if mayRenew && lea.tableRead && !rep.NeedsFullVersion && enforcesKnown(hea, rep) {
		rep.OK = true
		leases.Grant(hea.From, max(hea.Prepared.Order, rep.Prepared.Order))
	}
	return omitKnown(rep, hea)
}

// omitKnown leaves out the versions that the sender stated in its heartbeat; the sender ignores a zero version.
func omitKnown(rep heartbeatreply.HeartbeatReply, hea heartbeat.Heartbeat) heartbeatreply.HeartbeatReply {
	if rep.Current == hea.Current || rep.Current.Version == hea.Version {
		rep.Current = versionid.VersionID{}
	}
	if rep.Prepared == hea.Prepared {
		rep.Prepared = versionid.VersionID{}
	}
	return rep
}

// enforcesKnown reports whether the sender enforces the accepted version and the pending patch that the leader knows.
func enforcesKnown(hea heartbeat.Heartbeat, rep heartbeatreply.HeartbeatReply) bool {
	current := hea.InForce() >= rep.Current.Version || hea.Prepared.Same(rep.Current)
	pending := !rep.Prepared.Known() || hea.Prepared == rep.Prepared || hea.InForce() >= rep.Prepared.Version
	return current && pending
}

// ReceivePrepare answers a coordinator, which asks again until the answer is "ready".
func (lea *Leader) ReceivePrepare(msg prepare.Prepare) prepared.Prepared {
	answer := prepared.Prepared{DataCentre: lea.dataCentre.Name, ID: msg.ID}
	leading := lea.leading()
	lea.view.Learn(versionid.VersionID{}, msg.ID)
	current := lea.view.Current()
	if !leading || !lea.tableRead || lea.view.KnownPrepared() != msg.ID || current.Version+1 != msg.ID.Version {
		return answer
	}
	answer.Ready = lea.nodeLeases.AllPreparedOrExpired(msg.ID.Order, fence.Lease)
	cutHold := lea.view.Configuration().CutHold
	if !lea.dataCentre.StoreRegion || cutHold == 0 {
		return answer
	}
	for _, name := range msg.Unprepared {
		if name != lea.dataCentre.Name && lea.regionLeases.Expired(name, cutHold) {
			answer.Isolated = append(answer.Isolated, name)
		}
	}
	return answer
}

func (lea *Leader) sendRegion() {
	lea.regionSequence++
	lea.regionSentAt = time.Now()
	for sequence, sent := range lea.regionSent {
		if time.Since(sent) > ReadTimeout {
			delete(lea.regionSent, sequence)
		}
	}
	lea.regionSent[lea.regionSequence] = lea.regionSentAt
	lea.SendRegionHeartbeat(heartbeat.Heartbeat{
		From:     lea.dataCentre.Name,
		Sequence: lea.regionSequence,
		Current:  lea.view.Current(),
		Prepared: lea.view.Prepared(),
	})
}

// HandleRegionReply handles the reply of a leader in the store's region; several leaders may answer one heartbeat.
func (lea *Leader) HandleRegionReply(rep heartbeatreply.HeartbeatReply) {
	lea.view.Learn(rep.Current, rep.Prepared)
	if held := lea.view.Prepared(); rep.Aborted.Known() && held == rep.Aborted {
		lea.view.LearnAborted(held)
	}
	sent, known := lea.regionSent[rep.Sequence]
	if known && rep.OK && sent.After(lea.regionContact) {
		lea.regionContact = sent
	}
}
