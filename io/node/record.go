package node

import (
	"github.com/google/uuid"

	"flamingoreach/core/answer"
	"flamingoreach/core/call"
	"flamingoreach/core/outcome"
	"flamingoreach/core/reason"
)

// gateStart is the data of the trace line about a call that the gate passes to the backend server.
type gateStart struct {
	CallID   uuid.UUID `json:"callId"`
	Route    string    `json:"route"`
	Account  string    `json:"account,omitempty"`
	Priority int       `json:"priority"`
}

// gateEnd is the data of the trace line about a call that has ended at the gate or was refused there.
type gateEnd struct {
	CallID  uuid.UUID       `json:"callId"`
	Outcome outcome.Outcome `json:"outcome"`
	Reason  reason.Reason   `json:"reason,omitempty"`
}

// recordGate writes the gate's decisions to the trace if one is recorded.
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
