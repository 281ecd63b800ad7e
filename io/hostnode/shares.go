package hostnode

import (
	"context"

	"flamingoreach/core/tokenshare/loan"
	"flamingoreach/io/peer"
	"flamingoreach/io/work"
)

const askLoans = "AskLoans"

// joinShares lets this node borrow tokens of accounts from others and lend its own.
func (nod *Node) joinShares() {
	nod.control.AddTicker(nod.borrow)
	nod.shares.OnLowTokens = func() {
		if !nod.low.Swap(true) {
			nod.control.Offer(work.Event("shares.low", nil, nod.borrow))
		}
	}
	peer.Answer(nod.peerServer, askLoans, func(_ context.Context, asks []loan.Loan) ([]loan.Loan, error) {
		return nod.shares.Lend(asks), nil
	})
}

// borrow asks the holders of accounts for the tokens that are short here; it runs on the control thread.
func (nod *Node) borrow() {
	nod.low.Store(false)
	for holder, asks := range nod.shares.LoanRequests() {
		work.Start(nod.work, "shares.borrowed", askTimeout, func(ctx context.Context) ([]loan.Loan, error) {
			return peer.Ask[[]loan.Loan, []loan.Loan](ctx, nod.peerClient, holder, askLoans, asks)
		}, func(loans []loan.Loan, err error) {
			if err == nil {
				nod.shares.Receive(asks, loans)
			}
		})
	}
}
