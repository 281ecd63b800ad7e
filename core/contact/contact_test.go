package contact_test

import (
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"flamingoreach/core/contact"
	"flamingoreach/core/heartbeat"
	"flamingoreach/core/sharerequest"
)

func TestMessagesRestoreTheSendersName(t *testing.T) {
	node := uuid.Must(uuid.NewV7())
	hea := &heartbeat.Heartbeat{From: node.String(), Sequence: 7}
	req := &sharerequest.ShareRequest{Node: node.String(), Epoch: 3}
	con := contact.New(node, hea, req)
	require.Empty(t, con.Heartbeat.From)
	require.Empty(t, con.Share.Node)
	require.Equal(t, node.String(), hea.From, "the sender's own copy must not be modified")
	gotHeartbeat, gotShare := con.Messages()
	require.Equal(t, hea, gotHeartbeat)
	require.Equal(t, req, gotShare)
	onlyHeartbeat, noShare := contact.New(node, hea, nil).Messages()
	require.Equal(t, hea, onlyHeartbeat)
	require.Nil(t, noShare)
}
