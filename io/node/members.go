package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"flamingoreach/core/localserver"
	"flamingoreach/core/member"
	"flamingoreach/core/membership"
	"flamingoreach/core/membership/change"
	"flamingoreach/core/membership/memberrow"
	"flamingoreach/core/rowwrite"
	"flamingoreach/io/memberlink"
)

// memberRowsInterval is the interval at which a leader reads the rows of its data centre's members.
const memberRowsInterval = 30 * time.Second

// setUpMembers connects the membership list with the peers and the table.
func (nod *Node) setUpMembers() {
	lis := membership.New(nod.self, nod.settings.Seeds.Peers)
	nod.members = lis
	lis.Publish = nod.publishMembers
	lis.Leader = func(dataCentre string) (string, bool) {
		lead, known := nod.knownLeaders()[dataCentre]
		return lead.Holder, known
	}
	lin := &memberlink.Link{
		List: lis, Dispatcher: nod.dispatcher, Client: nod.peerClient, Server: nod.peerServer,
		ReadRows: nod.readMemberRows, WriteRow: nod.writeMemberRow, DeleteRow: nod.deleteMemberRow,
		RereadInterval: func() time.Duration {
			if nod.issuer == nil {
				return 0
			}
			return memberRowsInterval
		},
		OnRowsRead: func(rows []memberrow.Row) {
			nod.registeredIDs = nil
			for _, row := range rows {
				nod.registeredIDs = append(nod.registeredIDs, row.Member.ID)
			}
		},
		AskTimeout: askTimeout, StoreTimeout: storeTimeout,
	}
	lin.Register()
}

func (nod *Node) deleteMemberRow(ctx context.Context, id string) error {
	write := rowwrite.Write{Key: nod.memberCollection() + "/" + id, Unconditional: true, Delete: true}
	return nod.table.Transact(ctx, uuid.New(), []rowwrite.Write{write})
}

// memberCollection returns the name of the table's collection that holds the members of this node's data centre.
func (nod *Node) memberCollection() string { return "member." + nod.self.DataCentre }

func (nod *Node) writeMemberRow(ctx context.Context, row memberrow.Row) error {
	text, err := json.Marshal(row)
	if err != nil {
		return eris.Wrap(err, "encode member")
	}
	write := rowwrite.Write{Key: nod.memberCollection() + "/" + row.Member.ID, Unconditional: true, Value: text}
	return nod.table.Transact(ctx, uuid.New(), []rowwrite.Write{write})
}

func (nod *Node) readMemberRows(ctx context.Context) ([]memberrow.Row, error) {
	list, err := nod.table.List(ctx, nod.memberCollection())
	if err != nil {
		return nil, err
	}
	rows := make([]memberrow.Row, 0, len(list))
	for _, rec := range list {
		var row memberrow.Row
		if err := json.Unmarshal(rec.Value, &row); err != nil {
			return nil, eris.Wrapf(err, "decode row %s", rec.Key)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// publishMembers puts a changed list of members into the view and drops the picker's records of members that are no
// longer in it. It runs on the control thread.
func (nod *Node) publishMembers(members []member.Member) {
	live := make(map[string]bool, len(members))
	for _, mem := range members {
		live[mem.ID] = true
	}
	vie := nod.view.Load()
	for _, mem := range vie.Members {
		if !live[mem.ID] {
			nod.picker.Forget(mem.ID)
		}
	}
	inRegion := 0
	for _, mem := range members {
		if mem.Region == nod.self.Region {
			inRegion++
		}
	}
	nod.linkBudget.SetLink(float64(nod.settings.Fleet.LinkBytes), inRegion)
	nod.view.Store(vie.WithMembers(nod.members.Self(), members))
}

// entryChanges maps each state of the backend server to the change of this node's own entry in the membership list.
var entryChanges = map[string]string{
	localserver.Serving:  change.Serve,
	localserver.Draining: change.Drain,
	localserver.Absent:   change.Eject,
}
