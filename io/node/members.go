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

// rowsInterval is how often a leader reads the rows of its data centre's members.
const rowsInterval = 30 * time.Second

// joinMembers connects the membership list with peers and the table.
func (nod *Node) joinMembers() {
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
			return rowsInterval
		},
		OnRowsRead: func(rows []memberrow.Row) {
			nod.registered = nil
			for _, row := range rows {
				nod.registered = append(nod.registered, row.Member.ID)
			}
		},
		AskTimeout: askTimeout, StoreTimeout: storeTimeout,
	}
	lin.Register()
}

func (nod *Node) deleteMemberRow(ctx context.Context, id string) error {
	write := rowwrite.Write{Key: nod.memberRows() + "/" + id, Unconditional: true, Delete: true}
	return nod.table.Transact(ctx, uuid.New(), []rowwrite.Write{write})
}

// memberRows is the table's collection for the members of the own data centre.
func (nod *Node) memberRows() string { return "member." + nod.self.DataCentre }

func (nod *Node) writeMemberRow(ctx context.Context, row memberrow.Row) error {
	text, err := json.Marshal(row)
	if err != nil {
		return eris.Wrap(err, "encode member")
	}
	write := rowwrite.Write{Key: nod.memberRows() + "/" + row.Member.ID, Unconditional: true, Value: text}
	return nod.table.Transact(ctx, uuid.New(), []rowwrite.Write{write})
}

func (nod *Node) readMemberRows(ctx context.Context) ([]memberrow.Row, error) {
	list, err := nod.table.List(ctx, nod.memberRows())
	if err != nil {
		return nil, err
	}
	rows := make([]memberrow.Row, 0, len(list))
	for _, rea := range list {
		var row memberrow.Row
		if err := json.Unmarshal(rea.Value, &row); err != nil {
			return nil, eris.Wrapf(err, "decode row %s", rea.Key)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// publishMembers makes a changed list visible to traffic; it runs on the control thread.
func (nod *Node) publishMembers(members []member.Member) {
	live := make(map[string]bool, len(members))
	for _, mem := range members {
		live[mem.ID] = true
	}
	now := nod.view.Load()
	for _, mem := range now.Members {
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
	nod.link.SetLink(float64(nod.settings.Fleet.LinkBytes), inRegion)
	nod.view.Store(now.WithMembers(nod.members.Self(), members))
}

// The change of the own entry for each state of the backend server.
var changes = map[string]string{
	localserver.Serving:  change.Serve,
	localserver.Draining: change.Drain,
	localserver.Absent:   change.Eject,
}
