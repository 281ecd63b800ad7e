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
	"flamingoreach/io/peer"
	"flamingoreach/io/work"
)

const (
	probeMember     = "ProbeMember"
	passProbe       = "PassProbe"
	exchangeMembers = "ExchangeMembers"
	// rowsRetryTime is the time between two readings while the table fails, so that a fleet stays within its rates.
	rowsRetryTime = time.Second
)

// Link carries the messages and rows of one list; its function fields are its seams.
type Link struct {
	List   *membership.List
	Work   *work.Work
	Client *peer.Client
	Server *peer.Server
	// ReadRows, WriteRow and DeleteRow reach the platform's table.
	ReadRows  func(ctx context.Context) ([]memberrow.Row, error)
	WriteRow  func(ctx context.Context, row memberrow.Row) error
	DeleteRow func(ctx context.Context, id string) error
	// Reread, if set, says how often the rows are read after the first time, or 0 for never.
	Reread func() time.Duration
	// Read, if set, is told of the rows that were read, on the control thread.
	Read func(rows []memberrow.Row)
	// AskTime bounds a message to a node, StoreTime a request to the table.
	AskTime, StoreTime time.Duration

	// written says that the own row's first writing has ended, well or not.
	written bool
	// read is when the last reading began, failed whether it failed.
	read   time.Time
	failed bool
}

// passedProbe is a probe that another node passes on to its target.
type passedProbe struct {
	Target netip.AddrPort `json:"target"`
	Probe  probe.Probe    `json:"probe"`
}

// Join connects the list; it must precede the start of the control thread.
func (lin *Link) Join() {
	lis := lin.List
	lin.joinProbes()
	lis.SendExchange = func(address netip.AddrPort, exc exchange.Exchange) {
		work.Start(lin.Work, "membership.exchanged", lin.AskTime, func(ctx context.Context) (exchange.Exchange, error) {
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
		lin.write("membership.rowWritten", func(ctx context.Context) error { return lin.WriteRow(ctx, row) }, func(err error) {
			lin.written = true
			if err != nil {
				lis.RowFailed()
			}
		})
	}
	lis.DeleteRow = func(id string) {
		lin.write("membership.rowDeleted", func(ctx context.Context) error { return lin.DeleteRow(ctx, id) }, func(error) {})
	}
	lin.Work.Control.AddTicker(lis.Tick)
	lin.Work.Control.AddTicker(lin.tick)
	peer.Answer(lin.Server, exchangeMembers, func(ctx context.Context, exc exchange.Exchange) (exchange.Exchange, error) {
		return work.OnControl(ctx, lin.Work, "membership.exchangeReceived", exc, func() exchange.Exchange { return lis.ExchangeReceived(exc) })
	})
}

func (lin *Link) write(name string, write func(ctx context.Context) error, done func(err error)) {
	work.Start(lin.Work, name, lin.StoreTime, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, write(ctx)
	}, func(_ struct{}, err error) { done(err) })
}

func (lin *Link) joinProbes() {
	lis := lin.List
	acked := func(number uint64) func(answer ack.Ack, err error) {
		return func(answer ack.Ack, err error) {
			if err != nil {
				lis.ProbeFailed(number)
				return
			}
			lis.ProbeAcked(number, answer)
		}
	}
	lis.SendProbe = func(number uint64, address netip.AddrPort, pro probe.Probe) {
		work.Start(lin.Work, "membership.probed", lin.AskTime, func(ctx context.Context) (ack.Ack, error) {
			return peer.Ask[probe.Probe, ack.Ack](ctx, lin.Client, address, probeMember, pro)
		}, acked(number))
	}
	lis.SendIndirectProbe = func(number uint64, through, target netip.AddrPort, pro probe.Probe) {
		work.Start(lin.Work, "membership.probed", lin.AskTime, func(ctx context.Context) (ack.Ack, error) {
			return peer.Ask[passedProbe, ack.Ack](ctx, lin.Client, through, passProbe, passedProbe{Target: target, Probe: pro})
		}, acked(number))
	}
	peer.Answer(lin.Server, probeMember, func(ctx context.Context, pro probe.Probe) (ack.Ack, error) {
		return work.OnControl(ctx, lin.Work, "membership.probeReceived", pro, func() ack.Ack { return lis.ProbeReceived(pro) })
	})
	peer.Answer(lin.Server, passProbe, func(ctx context.Context, pas passedProbe) (ack.Ack, error) {
		return peer.Ask[probe.Probe, ack.Ack](ctx, lin.Client, pas.Target, probeMember, pas.Probe)
	})
}

// tick reads the rows once at the start, and again as often as the seam says. The first reading follows the writing of
// the own row: of two nodes that start at once, one at least finds the other's row then.
func (lin *Link) tick() {
	if !lin.due() {
		return
	}
	lin.read, lin.failed = time.Now(), false
	work.Start(lin.Work, "membership.joined", lin.StoreTime, lin.ReadRows, func(rows []memberrow.Row, err error) {
		if err != nil {
			lin.failed = true
			return
		}
		if lin.Read != nil {
			lin.Read(rows)
		}
		lin.List.RowsRead(rows)
	})
}

func (lin *Link) due() bool {
	since := time.Since(lin.read)
	switch {
	case lin.read.IsZero():
		return lin.written
	case lin.failed:
		return since >= rowsRetryTime
	case lin.Reread == nil:
		return false
	}
	again := lin.Reread()
	return again > 0 && since > again
}
