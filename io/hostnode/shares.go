package hostnode

import (
	"context"

	"flamingoreach/core/tokenshare/loan"
	"flamingoreach/io/dispatcher"
	"flamingoreach/io/peer"
)

const askLoans = "AskLoans"

// setUpShares lets this node borrow tokens of accounts from other nodes and lend them its own.
func (nod *Node) setUpShares() {
	nod.control.AddTicker(nod.borrow)
	nod.shares.OnCallWaits = func() {
		if !nod.lowTokens.Swap(true) {
			nod.control.Offer(dispatcher.Event("shares.low", nil, nod.borrow))
		}
	}
	peer.Handle(nod.peerServer, askLoans, func(_ context.Context, requests []loan.Loan) ([]loan.Loan, error) {
		return nod.shares.Lend(requests), nil
	})
}

// borrow requests loans of the tokens that this node lacks from the hosts that hold them; it runs on the control
// thread.
func (nod *Node) borrow() {
	nod.lowTokens.Store(false)
	for holder, requests := range nod.shares.LoanRequests() {
		dispatcher.Start(nod.dispatcher, "shares.borrowed", askTimeout, func(ctx context.Context) ([]loan.Loan, error) {
			return peer.Ask[[]loan.Loan, []loan.Loan](ctx, nod.peerClient, holder, askLoans, requests)
		}, func(loans []loan.Loan, err error) {
			if err == nil {
				nod.shares.Receive(requests, loans)
			}
		})
	}
}
