package hostnode

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/evacuation"
	"flamingoreach/core/member"
	"flamingoreach/core/placement"
	"flamingoreach/core/reason"
	"flamingoreach/io/dispatcher"
)

const (
	// spreadToChanged is the number of random members of the data centres whose evacuation has begun or ended that a node
	// tells at once if it has the change from the store. The followers in other data centres, three in each, make up for
	// those in the changed ones that have lost the store.
	spreadToChanged = 4
	// evacuationAsksPerBound is the number of other nodes that a node which knows of an evacuation tells within the bound on
	// evacuations, besides those that it tells at once.
	evacuationAsksPerBound = 5
	// startAskInterval is the time between two requests to other nodes while this node does not know which data centres are
	// evacuated. Its gate is closed meanwhile.
	startAskInterval = 200 * time.Millisecond
	// pauseLimit is the time between two ticks after which the process is taken to have been paused.
	pauseLimit = time.Second
	// evacuatedAnswerInterval is the least time between two requests for evacuations to gates that refused a call because
	// their data centre is evacuated.
	evacuatedAnswerInterval = 200 * time.Millisecond
)

// setUpEvacuation connects the evacuations that the configuration feed knows with the view, the gate and the picker. The
// gate is closed until they are known, or until syncTimeout has passed.
func (nod *Node) setUpEvacuation() {
	nod.onEvacuationEnded = func() {
		nod.pacer.AssumeCold()
		nod.updateColdState()
	}
	nod.updateGate()
	nod.feed.OnEvacuation = nod.applyEvacuation
	nod.evacuations.OnReturning = func(dataCentre string, until time.Time) {
		nod.picker.BeginReturn(dataCentre, until)
		if dataCentre == nod.settings.DataCentre {
			nod.onEvacuationEnded()
		}
	}
	nod.evacuations.OnEvacuated = nod.picker.EndReturn
	nod.evacuations.OnInService = nod.picker.EndReturn
	nod.lastTick = time.Now()
	nod.control.AddTicker(nod.tickEvacuation)
	nod.metrics.Gauge("evacuated", func() float64 {
		if nod.view.Load().Evacuation.Includes(nod.settings.DataCentre) {
			return 1
		}
		return 0
	})
	nod.metrics.Gauge("evacuated_data_centres", func() float64 { return float64(len(nod.view.Load().Evacuation.DataCentres)) })
}

// applyEvacuation puts evacuations in force for all calls; it runs on the control thread.
func (nod *Node) applyEvacuation(eva evacuation.Evacuation, source string) {
	vie := nod.view.Load()
	former := vie.Evacuation
	nod.view.Store(vie.WithEvacuation(eva))
	nod.evacuationSettled.Store(true)
	nod.evacuations.Apply(eva)
	nod.updateGate()
	if eva.Equal(former) {
		return
	}
	nod.logEvacuation(former, eva, source)
	nod.spreadEvacuation(former, eva, source == "store")
}

// updateGate closes the gate while this node's data centre is evacuated, or may be, and opens it otherwise.
func (nod *Node) updateGate() {
	why := reason.None
	switch {
	case nod.view.Load().Evacuation.Includes(nod.settings.DataCentre):
		why = reason.DataCentreEvacuated
	case !nod.evacuationSettled.Load():
		why = reason.EvacuationUnknown
	}
	nod.gate.SetClosed(why)
}

// logEvacuation writes a line for each data centre whose evacuation begins or ends.
func (nod *Node) logEvacuation(former, eva evacuation.Evacuation, source string) {
	for _, name := range eva.DataCentres {
		if former.Includes(name) {
			continue
		}
		members := nod.countMembers(name)
		nod.log.Info("evacuation in force", "dataCentre", name, "source", source, "era", eva.Position.Era,
			"revision", eva.Position.Revision, "members", members)
		if members == 0 && nod.synced.Load() {
			nod.log.Warn("evacuated data centre has no members", "dataCentre", name)
		}
	}
	for _, name := range former.DataCentres {
		if !eva.Includes(name) {
			nod.log.Info("evacuation ended", "dataCentre", name, "source", source, "era", eva.Position.Era,
				"revision", eva.Position.Revision, "members", nod.countMembers(name))
		}
	}
}

func (nod *Node) countMembers(dataCentre string) int {
	count := 0
	for _, mem := range nod.view.Load().Members {
		if mem.DataCentre == dataCentre {
			count++
		}
	}
	return count
}

// spreadEvacuation lets other nodes know that evacuations have begun or ended. Nodes of the changed data centres come
// first, because their gates decide: those that are reached tell each other.
func (nod *Node) spreadEvacuation(former, eva evacuation.Evacuation, fromStore bool) {
	changed := func(dataCentre string) bool { return former.Includes(dataCentre) != eva.Includes(dataCentre) }
	for range newVersionAsks {
		nod.askRandomMember()
	}
	own := nod.settings.DataCentre
	within, toChanged := spreadWithin, spreadToChanged
	if !fromStore {
		toChanged = 0
		if !changed(own) {
			return
		}
	}
	members := nod.view.Load().Members
	for _, index := range rand.Perm(len(members)) {
		switch mem := members[index]; {
		case mem.ID == nod.id:
		case mem.DataCentre == own && within > 0:
			within--
			nod.askVersionOf(mem.Peer)
		case mem.DataCentre != own && changed(mem.DataCentre) && toChanged > 0:
			toChanged--
			nod.askVersionOf(mem.Peer)
		}
	}
}

// tickEvacuation ends the wait for evacuations after syncTimeout, and asks other nodes after a pause of this process, in
// which it may have missed a change.
func (nod *Node) tickEvacuation() {
	nod.evacuations.Tick()
	now := time.Now()
	if now.Sub(nod.lastTick) > pauseLimit {
		for range newVersionAsks {
			nod.askRandomMember()
		}
	}
	nod.lastTick = now
	if !nod.evacuationSettled.Load() && now.Sub(nod.started) >= syncTimeout {
		nod.log.Warn("evacuations not known", "after", now.Sub(nod.started))
		nod.evacuationSettled.Store(true)
		nod.updateGate()
	}
}

// exchangeInterval is the time until this node asks the next random node. It is shorter than askInterval where a node may
// have to learn of an evacuation in time.
func (nod *Node) exchangeInterval() time.Duration {
	interval := nod.askInterval()
	switch {
	case !nod.evacuationSettled.Load():
		return min(interval, startAskInterval)
	case len(nod.view.Load().Evacuation.DataCentres) > 0:
		return min(interval, nod.bounds.Load().EvacuationTime/evacuationAsksPerBound)
	}
	return interval
}

// knownEvacuation returns the latest evacuations for another node, or nil if none are known.
func (nod *Node) knownEvacuation() *evacuation.Evacuation {
	if eva, known := nod.feed.Evacuations(); known {
		return &eva
	}
	return nil
}

// receiveEvacuation handles what another node knows, nil if it knows nothing.
func (nod *Node) receiveEvacuation(eva *evacuation.Evacuation) {
	if eva != nil {
		nod.feed.ReceiveEvacuation(*eva)
	}
}

// candidates returns the members that may take a call, all of them in its allowed regions: none until the evacuations are
// known.
func (nod *Node) candidates(cal call.Call) []member.Member {
	if !nod.evacuationSettled.Load() {
		return nil
	}
	return placement.Filter(cal.Regions, nod.view.Load().Serving(cal.Service))
}

// whyNone returns the reason for which candidates returns no member.
func (nod *Node) whyNone(cal call.Call) reason.Reason {
	switch {
	case !nod.evacuationSettled.Load():
		return reason.EvacuationUnknown
	case nod.view.Load().IsEvacuated(cal.Service, cal.Regions):
		return reason.DataCentreEvacuated
	}
	return reason.NoBackendServer
}

// recordEvacuatedAnswer handles an answer by which a gate refused a call because its data centre is evacuated: further
// calls avoid the members of that data centre for a moment, and the node beside the gate is asked for its evacuations.
func (nod *Node) recordEvacuatedAnswer(id string, ans answer.Answer) {
	if ans.Refusal == nil || ans.Refusal.Reason != reason.DataCentreEvacuated {
		return
	}
	vie := nod.view.Load()
	index, found := slices.BinarySearchFunc(vie.Members, id, func(mem member.Member, id string) int { return cmp.Compare(mem.ID, id) })
	if !found {
		return
	}
	refusing := vie.Members[index]
	var ids []string
	for _, mem := range vie.Serving(refusing.Service) {
		if mem.DataCentre == refusing.DataCentre {
			ids = append(ids, mem.ID)
		}
	}
	nod.picker.RecordRefusesAll(ids)
	now, former := time.Now().UnixNano(), nod.evacuatedAnswerAt.Load()
	if id != nod.id && now-former >= int64(evacuatedAnswerInterval) && nod.evacuatedAnswerAt.CompareAndSwap(former, now) {
		nod.control.Offer(dispatcher.Event("evacuation.refused", nil, func() { nod.askVersionOf(refusing.Peer) }))
	}
}

// recordLateCall counts and logs a call that arrives at the gate of an evacuated data centre.
func (nod *Node) recordLateCall(cal call.Call) {
	eva := nod.view.Load().Evacuation
	if !eva.Includes(nod.settings.DataCentre) {
		return
	}
	nod.metrics.CountCallToEvacuated(cal.CallerDataCentre)
	nod.evacuationLog.Write("call to evacuated data centre", "requestId", cal.RequestID, "callId", cal.ID, "route", cal.Route,
		"callerDataCentre", cal.CallerDataCentre, "callerService", cal.CallerService, "era", eva.Position.Era, "revision", eva.Position.Revision)
}
