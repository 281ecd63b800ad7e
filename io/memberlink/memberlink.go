package memberlink

import (
	"context"
	"net/netip"
	"time"

	"flamingoreach/core/membership"
	"flamingoreach/core/membership/ack"
	"flamingoreach/core/membership/exchange"
	"flamingoreach/core/membership/memberrow"
	"flamingoreach/core/membership/probe"
	"flamingoreach/io/dispatcher"
	"flamingoreach/io/peer"
)

const (
	probeMember     = "ProbeMember"
	passProbe       = "PassProbe"
	exchangeMembers = "ExchangeMembers"
	// rowsRetryInterval is the time between two reads while the table fails. It keeps the requests of a whole fleet
	// within the rates that it may use.
	rowsRetryInterval = time.Second
	// recentTime is how long after its first row a node may be missing in an older copy of the table. Copies are up to 20 s
	// old, and a node may learn of the restore seconds later.
	recentTime = time.Minute
)

// Link sends and receives the messages of one membership list and reads and writes its rows. The node sets its function
// fields.
type Link struct {
	List       *membership.List
	Dispatcher *dispatcher.Dispatcher
	Client     *peer.Client
	Server     *peer.Server
	// ReadRows, WriteRow and DeleteRow access the platform's table.
	ReadRows  func(ctx context.Context) ([]memberrow.Row, error)
	WriteRow  func(ctx context.Context, row memberrow.Row) error
	DeleteRow func(ctx context.Context, id string) error
	// RereadInterval, if set, returns the time between two reads of the rows, or 0 if they need not be read again after
	// the first.
	RereadInterval func() time.Duration
	// OnRowsRead, if set, is called on the control thread with the rows that were read.
	OnRowsRead func(rows []memberrow.Row)
	// AskTimeout bounds a request to a node, StoreTimeout a request to the table.
	AskTimeout, StoreTimeout time.Duration

	// ownRowTried is set once the first write of this node's own row has ended, even if it failed. ownRowWritten is set once
	// one has succeeded.
	ownRowTried, ownRowWritten bool
	// firstWritten is when this node's own row was first written. restores counts the calls of Restored; mustReread is set
	// from such a call until the rows were read after the own row was written again.
	firstWritten time.Time
	restores     int
	mustReread   bool
	// lastRead is when the last read of the rows began, readFailed whether it failed.
	lastRead   time.Time
	readFailed bool
	// joined is set once a read has succeeded that began after the own row was written.
	joined bool
}

// Joined reports whether each other node either has been found by its row or finds this node's row when it starts. It is
// called on the control thread.
func (lin *Link) Joined() bool { return lin.joined }

// Restored has the own row written again after the table came back from an older copy. If the copy may be from before this
// node's first row, nodes that have started since have missed it, so the rows are read once the own one is there again: of
// two such nodes at least one then finds the other. A node that acts for its data centre reads them too, and deletes those
// of members that have died or left. It is called on the control thread.
func (lin *Link) Restored() {
	lin.restores++
	lin.ownRowWritten = false
	recent := lin.firstWritten.IsZero() || time.Since(lin.firstWritten) < recentTime
	mustRead := lin.List.RepeatRow()
	lin.mustReread = lin.mustReread || recent || mustRead
}

// relayedProbe is a probe that another node relays to its target.
type relayedProbe struct {
	Target netip.AddrPort `json:"target"`
	Probe  probe.Probe    `json:"probe"`
}

// Register sets the function fields of the list and adds its tickers and the handlers of messages; it must be called
// before the control thread starts.
func (lin *Link) Register() {
	lis := lin.List
	lin.registerProbes()
	lis.SendExchange = func(address netip.AddrPort, exc exchange.Exchange) {
		dispatcher.Start(lin.Dispatcher, "membership.exchanged", lin.AskTimeout, func(ctx context.Context) (exchange.Exchange, error) {
			return peer.Ask[exchange.Exchange, exchange.Exchange](ctx, lin.Client, address, exchangeMembers, exc)
		}, func(reply exchange.Exchange, err error) {
			if err != nil {
				lis.ExchangeFailed(address)
				return
			}
			lis.ExchangeAnswered(address, reply)
		})
	}
	lis.WriteRow = func(row memberrow.Row) {
		restores := lin.restores
		lin.write("membership.rowWritten", func(ctx context.Context) error { return lin.WriteRow(ctx, row) }, func(err error) {
			lin.ownRowTried = true
			// A write that was under way when the table was restored may be lost; the next one is due.
			if restores != lin.restores {
				return
			}
			if err != nil {
				lis.RowFailed()
				return
			}
			lin.ownRowWritten = true
			if lin.firstWritten.IsZero() {
				lin.firstWritten = time.Now()
			}
			lis.RowWritten()
		})
	}
	lis.DeleteRow = func(id string) {
		lin.write("membership.rowDeleted", func(ctx context.Context) error { return lin.DeleteRow(ctx, id) }, func(error) {})
	}
	lin.Dispatcher.Control.AddTicker(lis.Tick)
	lin.Dispatcher.Control.AddTicker(lin.tick)
	peer.Handle(lin.Server, exchangeMembers, func(ctx context.Context, exc exchange.Exchange) (exchange.Exchange, error) {
		return dispatcher.OnControl(ctx, lin.Dispatcher, "membership.exchangeReceived", exc, func() exchange.Exchange { return lis.ExchangeReceived(exc) })
	})
}

func (lin *Link) write(name string, write func(ctx context.Context) error, done func(err error)) {
	dispatcher.Start(lin.Dispatcher, name, lin.StoreTimeout, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, write(ctx)
	}, func(_ struct{}, err error) { done(err) })
}

func (lin *Link) registerProbes() {
	lis := lin.List
	ackHandler := func(number uint64) func(answer ack.Ack, err error) {
		return func(answer ack.Ack, err error) {
			if err != nil {
				lis.ProbeFailed(number)
				return
			}
			lis.ProbeAcked(number, answer)
		}
	}
	lis.SendProbe = func(number uint64, address netip.AddrPort, pro probe.Probe) {
		dispatcher.Start(lin.Dispatcher, "membership.probed", lin.AskTimeout, func(ctx context.Context) (ack.Ack, error) {
			return peer.Ask[probe.Probe, ack.Ack](ctx, lin.Client, address, probeMember, pro)
		}, ackHandler(number))
	}
	lis.SendIndirectProbe = func(number uint64, through, target netip.AddrPort, pro probe.Probe) {
		dispatcher.Start(lin.Dispatcher, "membership.probed", lin.AskTimeout, func(ctx context.Context) (ack.Ack, error) {
			return peer.Ask[relayedProbe, ack.Ack](ctx, lin.Client, through, passProbe, relayedProbe{Target: target, Probe: pro})
		}, ackHandler(number))
	}
	peer.Handle(lin.Server, probeMember, func(ctx context.Context, pro probe.Probe) (ack.Ack, error) {
		return dispatcher.OnControl(ctx, lin.Dispatcher, "membership.probeReceived", pro, func() ack.Ack { return lis.ProbeReceived(pro) })
	})
	peer.Handle(lin.Server, passProbe, func(ctx context.Context, rel relayedProbe) (ack.Ack, error) {
		return peer.Ask[probe.Probe, ack.Ack](ctx, lin.Client, rel.Target, probeMember, rel.Probe)
	})
}

// tick reads the rows after the start, and again at the intervals that RereadInterval returns. The first read follows the
// first try to write this node's own row, and another one its first success: if two nodes start at the same time, at least
// one of them then finds the other's row.
func (lin *Link) tick() {
	if !lin.rowsDue() {
		return
	}
	lin.lastRead, lin.readFailed = time.Now(), false
	joins, restores := lin.ownRowWritten, lin.restores
	dispatcher.Start(lin.Dispatcher, "membership.joined", lin.StoreTimeout, lin.ReadRows, func(rows []memberrow.Row, err error) {
		if err != nil {
			lin.readFailed = true
			return
		}
		if joins && restores == lin.restores {
			lin.joined, lin.mustReread = true, false
		}
		if lin.OnRowsRead != nil {
			lin.OnRowsRead(rows)
		}
		lin.List.RowsRead(rows)
	})
}

func (lin *Link) rowsDue() bool {
	since := time.Since(lin.lastRead)
	switch {
	case lin.lastRead.IsZero():
		return lin.ownRowTried
	case lin.readFailed, (!lin.joined || lin.mustReread) && lin.ownRowWritten:
		return since >= rowsRetryInterval
	case lin.RereadInterval == nil:
		return false
	}
	interval := lin.RereadInterval()
	return interval > 0 && since > interval
}
