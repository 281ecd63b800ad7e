package hostnode

import "context"

// setUpStoreEra has written again what the store may have lost when it comes back from an older copy. Whatever else a node
// keeps in the store registers with AfterRise.
func (nod *Node) setUpStoreEra() {
	nod.storeEra.OnRise = func(from, to uint64) {
		nod.log.Warn("store era rose", "from", from, "to", to, "version", nod.feed.Version())
		nod.feed.EraRose(to)
	}
	nod.storeEra.OnBack = func(era, current uint64) {
		nod.log.Warn("store era went back, ignored", "era", era, "current", current)
	}
	nod.storeEra.AfterRise(nod.memberLink.Restored)
	nod.storeEra.AfterRise(nod.crashLink.Restored)
	nod.storeEra.AfterRise(nod.restoreDeparture)
	nod.control.AddTicker(nod.storeEra.Tick)
	nod.metrics.Gauge("store_era", func() float64 { return float64(max(nod.storeEraKnown.Load(), 1) - 1) })
	nod.metrics.Gauge("store_late_answers", func() float64 { return float64(nod.lateAnswers.Load()) })
}

// ReceiveStoreEra handles the era of an answer of the store, and the latest one that the store's client knows, before the
// answer itself is handled. The era changes seldom, so that most answers cost the control thread nothing. It is safe for
// concurrent use.
func (nod *Node) ReceiveStoreEra(era, known uint64) {
	if era == known && era < nod.storeEraKnown.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	nod.dispatcher.Post(ctx, "store.era", era, func() { nod.observeStoreEra(era) })
}

// ReceiveLateAnswer counts an answer that the store gave in an earlier era than the one known at its arrival. It is safe
// for concurrent use.
func (nod *Node) ReceiveLateAnswer(era, known uint64) {
	nod.lateAnswers.Add(1)
	nod.log.Info("late answer of the store", "era", era, "known", known)
}

// hearStoreEra handles the era that another node knows of. An earlier one means that the other node has yet to hear.
func (nod *Node) hearStoreEra(era uint64) {
	if era > nod.storeEra.Current() {
		nod.observeStoreEra(era)
	}
}

func (nod *Node) observeStoreEra(era uint64) {
	nod.storeEra.Observe(era)
	nod.storeEraKnown.Store(nod.storeEra.Current() + 1)
	if nod.platform.RaiseStoreEra != nil {
		nod.platform.RaiseStoreEra(nod.storeEra.Current())
	}
}
