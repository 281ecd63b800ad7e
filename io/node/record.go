package node

import (
	"github.com/google/uuid"

	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
)

// gateStart and gateEnd are the trace's lines about one call at the gate.
type gateStart struct {
	CallID   uuid.UUID `json:"callId"`
	Route    string    `json:"route"`
	Account  string    `json:"account,omitempty"`
	Priority int       `json:"priority"`
}

type gateEnd struct {
	CallID  uuid.UUID       `json:"callId"`
	Outcome outcome.Outcome `json:"outcome"`
	Reason  reason.Reason   `json:"reason,omitempty"`
}

// recordGate has the gate's decisions recorded where a trace is kept.
func (nod *Node) recordGate() {
	if !nod.recorder.Enabled() {
		return
	}
	nod.gate.OnStart = func(cal call.Call) {
		nod.recorder.Traffic("gate.started", gateStart{CallID: cal.ID, Route: cal.Route, Account: cal.Account, Priority: cal.Priority})
	}
	nod.gate.OnEnd = func(cal call.Call, ans answer.Answer) {
		end := gateEnd{CallID: cal.ID, Outcome: outcome.Ran}
		if ans.Refusal != nil {
			end.Outcome, end.Reason = ans.Refusal.Outcome, ans.Refusal.Reason
		}
		nod.recorder.Traffic("gate.ended", end)
	}
}
