package lease

import (
	"time"

	"flamingoreach/charts"
	"flamingoreach/core/leader"
	"flamingoreach/core/machine"
)

var events = []string{
	"rowExpired", "rowMine", "rowOther", "written", "conflicted", "unknown",
	"opened", "leaseExpired", "renewed", "unheard", "superseded", "handOver", "received",
}

var leadership = machine.MustNew(charts.MustLoad("leadership"), events,
	map[string]func(*Lease) bool{"answeredByMajority": (*Lease).answeredByMajority},
	map[string]func(*Lease){
		"challenge":               (*Lease).challenge,
		"startLeadership":         (*Lease).startLeadership,
		"startReceivedLeadership": (*Lease).startReceivedLeadership,
		"readBack":                (*Lease).readBack,
		"stepDown":                (*Lease).stepDown,
		"writeSuccessor":          (*Lease).writeSuccessor,
		"notifySuccessor":         (*Lease).notifySuccessor,
	})

func (lea *Lease) fire(event string) {
	lea.state = leadership.Fire(lea, lea.state, event)
}

func (lea *Lease) challenge() {
	lea.renewals++
	claim := leader.Leader{Holder: lea.id, Epoch: lea.highest + 1, Address: lea.address, Renewals: lea.renewals}
	lea.firstEpoch = lea.highest == 0
	lea.write(claim)
}

// startLeadership starts the leadership that the write lea.attempt has claimed; the lease counts from its sending.
func (lea *Lease) startLeadership() {
	lea.beginLeadership(lea.attempt.value, lea.attempt.sentAt)
	if lea.firstEpoch {
		lea.grantsFrom = time.Now()
	}
}

// startReceivedLeadership starts a leadership that the former leader has handed over. The zero renewedAt means that
// this node has not renewed it yet; it leads once its first renewal has taken effect. It may grant from now on, because
// the former leader also hands over its ledgers of granted tokens, so that this node knows all tokens that nodes hold.
func (lea *Lease) startReceivedLeadership() {
	lea.beginLeadership(lea.row, time.Time{})
	lea.grantsFrom = time.Now()
	lea.renew(time.Now())
}

// beginLeadership resets the state of the leadership; a zero renewedAt makes a renewal due at once.
func (lea *Lease) beginLeadership(own leader.Leader, renewedAt time.Time) {
	lea.own, lea.began, lea.firstRenewedAt, lea.renewedAt = own, time.Now(), renewedAt, renewedAt
	lea.nextRenewalAt, lea.grantsFrom, lea.majorityUntil = time.Now(), time.Time{}, time.Time{}
	if !renewedAt.IsZero() {
		lea.nextRenewalAt = renewedAt.Add(RenewalInterval)
	}
	lea.answeredAt, lea.leftEarlierLeadersAt = map[string]time.Time{}, map[string]time.Time{}
	lea.Announce(own)
}

func (lea *Lease) stepDown() {
	lea.own = leader.Leader{}
	lea.OnLost()
}

func (lea *Lease) readBack() { lea.read() }

func (lea *Lease) writeSuccessor() {
	lea.write(lea.successor)
}

func (lea *Lease) notifySuccessor() { lea.OnHandOver(lea.successor, lea.revision) }
