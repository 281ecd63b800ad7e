package standinplatform_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"flamingoreach/core/row"
	"flamingoreach/core/rowwrite"
	"flamingoreach/io/objectstore"
	"flamingoreach/io/platformlink"
	"flamingoreach/io/standinplatform"
	"flamingoreach/io/standinplatform/contents"
	"flamingoreach/io/standinplatform/faults"
	"flamingoreach/io/tableservice"
)

const (
	clientTimeout = 5 * time.Second
	sizeLimit     = 1 << 20
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fixture struct {
	platform *standinplatform.Platform
	table    *tableservice.Client
	objects  *objectstore.Client
}

func start(t *testing.T) fixture {
	t.Helper()
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	pla, err := standinplatform.New(anyPort, anyPort, anyPort)
	require.NoError(t, err)
	fix := fixture{
		platform: pla,
		table:    tableservice.New(pla.TableAddress(), "rows", "id", "secret", clientTimeout),
		objects:  objectstore.New(pla.ObjectAddress(), "bodies", "id", "secret", clientTimeout, sizeLimit),
	}
	t.Cleanup(func() {
		fix.table.Close()
		fix.objects.Close()
		require.NoError(t, pla.Close())
	})
	return fix
}

func (fix fixture) transact(t *testing.T, writes ...rowwrite.Write) error {
	t.Helper()
	return fix.table.Transact(t.Context(), uuid.New(), writes)
}

func TestConditionalWritesCheckTheRevision(t *testing.T) {
	fix := start(t)
	_, err := fix.table.Read(t.Context(), "leases/ams-a")
	require.ErrorIs(t, err, row.ErrNotFound)
	require.NoError(t, fix.transact(t, rowwrite.Write{Key: "leases/ams-a", Value: []byte("one")}))
	require.ErrorIs(t, fix.transact(t, rowwrite.Write{Key: "leases/ams-a", Value: []byte("two")}), row.ErrConflict)
	require.NoError(t, fix.transact(t, rowwrite.Write{Key: "leases/ams-a", Expected: 1}))
	require.NoError(t, fix.transact(t, rowwrite.Write{Key: "leases/ams-a", Unconditional: true, Value: []byte("three")}))
	found, err := fix.table.Read(t.Context(), "leases/ams-a")
	require.NoError(t, err)
	require.Equal(t, row.Row{Key: "leases/ams-a", Revision: 3, Value: []byte("three")}, found)
}

func TestTransactionAppliesAllWritesOrNone(t *testing.T) {
	fix := start(t)
	require.NoError(t, fix.transact(t, rowwrite.Write{Key: "parts/a"}, rowwrite.Write{Key: "parts/b"}))
	stale := rowwrite.Write{Key: "parts/b", Expected: 7, CheckOnly: true}
	require.ErrorIs(t, fix.transact(t, rowwrite.Write{Key: "parts/a", Expected: 1, Delete: true}, stale), row.ErrConflict)
	rows, err := fix.table.List(t.Context(), "parts")
	require.NoError(t, err)
	require.Len(t, rows, 2)
	stale.Expected = 1
	require.NoError(t, fix.transact(t, rowwrite.Write{Key: "parts/a", Expected: 1, Delete: true}, stale))
	rows, err = fix.table.List(t.Context(), "parts")
	require.NoError(t, err)
	require.Equal(t, []row.Row{{Key: "parts/b", Revision: 1, Value: []byte{}}}, rows)
}

func TestListReadsAllPagesOfOneCollection(t *testing.T) {
	fix := start(t)
	const members = 120
	for i := range members {
		require.NoError(t, fix.transact(t, rowwrite.Write{Key: fmt.Sprintf("members/%03d/x", i)}, rowwrite.Write{Key: fmt.Sprintf("other/%03d", i)}))
	}
	before := fix.platform.Contents().Reads
	rows, err := fix.table.List(t.Context(), "members")
	require.NoError(t, err)
	require.Len(t, rows, members)
	require.Equal(t, "members/119/x", rows[members-1].Key)
	require.EqualValues(t, 3, fix.platform.Contents().Reads-before)
}

func TestLostTransactionAnswerIsUnknownAndRetryHasNoSecondEffect(t *testing.T) {
	fix := start(t)
	fix.platform.SetFaults(faults.Faults{LostAnswers: 1})
	token := uuid.New()
	writes := []rowwrite.Write{{Key: "configuration/head", Value: []byte("v1")}}
	err := fix.table.Transact(t.Context(), token, writes)
	require.Error(t, err)
	require.NotErrorIs(t, err, row.ErrConflict)
	require.ErrorContains(t, err, fix.platform.TableAddress().String())
	require.EqualValues(t, 1, fix.platform.Contents().Writes, "the client retried the request by itself")
	require.Len(t, fix.platform.Contents().Rows, 1)
	require.NoError(t, fix.table.Transact(t.Context(), token, writes))
	require.EqualValues(t, 1, fix.platform.Contents().Rows[0].Revision)
	err = fix.table.Transact(t.Context(), token, []rowwrite.Write{{Key: "configuration/head", Unconditional: true}})
	require.Error(t, err)
	require.NotErrorIs(t, err, row.ErrConflict)
}

func TestRequestsDuringAnOutageFailWithoutEffect(t *testing.T) {
	fix := start(t)
	fix.platform.SetFaults(faults.Faults{TableOutage: true, ObjectOutage: true})
	err := fix.transact(t, rowwrite.Write{Key: "leases/ams-a"})
	require.Error(t, err)
	require.NotErrorIs(t, err, row.ErrConflict)
	_, err = fix.table.Read(t.Context(), "leases/ams-a")
	require.Error(t, err)
	require.NotErrorIs(t, err, row.ErrNotFound)
	_, err = fix.table.List(t.Context(), "leases")
	require.Error(t, err)
	require.Error(t, fix.objects.Put(t.Context(), "v1", []byte("body")))
	_, err = fix.objects.Get(t.Context(), "v1")
	require.NotErrorIs(t, err, row.ErrNotFound)
	require.Error(t, err)
	_, err = fix.objects.Exists(t.Context(), "v1")
	require.Error(t, err)
	fix.platform.SetFaults(faults.Faults{})
	require.Equal(t, contents.Contents{Rows: []row.Row{}, Objects: map[string][]byte{}}, fix.platform.Contents())
	require.NoError(t, fix.transact(t, rowwrite.Write{Key: "leases/ams-a"}))
}

func TestDelayBeyondTheTimeoutHasNoEffect(t *testing.T) {
	fix := start(t)
	shortTimeout := tableservice.New(fix.platform.TableAddress(), "rows", "id", "secret", 20*time.Millisecond)
	defer shortTimeout.Close()
	fix.platform.SetFaults(faults.Faults{Delay: time.Hour})
	err := shortTimeout.Transact(t.Context(), uuid.New(), []rowwrite.Write{{Key: "leases/ams-a"}})
	require.Error(t, err)
	require.NotErrorIs(t, err, row.ErrConflict)
	require.Empty(t, fix.platform.Contents().Rows)
}

func TestObjectsAreCompleteOrAbsent(t *testing.T) {
	fix := start(t)
	_, err := fix.objects.Get(t.Context(), "versions/1")
	require.ErrorIs(t, err, row.ErrNotFound)
	exists, err := fix.objects.Exists(t.Context(), "versions/1")
	require.NoError(t, err)
	require.False(t, exists)
	body := bytes.Repeat([]byte("configuration "), 1000)
	fix.platform.SetFaults(faults.Faults{LostAnswers: faults.LoseAll})
	require.Error(t, fix.objects.Put(t.Context(), "versions/1", body))
	require.Error(t, fix.objects.Put(t.Context(), "versions/1", body))
	fix.platform.SetFaults(faults.Faults{})
	got, err := fix.objects.Get(t.Context(), "versions/1")
	require.NoError(t, err)
	require.Equal(t, body, got)
	exists, err = fix.objects.Exists(t.Context(), "versions/1")
	require.NoError(t, err)
	require.True(t, exists)
	require.ErrorIs(t, fix.objects.Put(t.Context(), "big", make([]byte, sizeLimit+1)), objectstore.ErrTooLarge)
	small := objectstore.New(fix.platform.ObjectAddress(), "bodies", "id", "secret", clientTimeout, 10)
	defer small.Close()
	_, err = small.Get(t.Context(), "versions/1")
	require.ErrorIs(t, err, objectstore.ErrTooLarge)
}

func TestFaultsAndContentsOverTheControlEndpoint(t *testing.T) {
	fix := start(t)
	require.NoError(t, fix.transact(t, rowwrite.Write{Key: "keys/a", Value: []byte("digest")}))
	base := "http://" + fix.platform.ControlAddress().String()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, base+"/faults", bytes.NewBufferString(`{"tableOutage":true}`))
	require.NoError(t, err)
	answer, err := client.Do(request)
	require.NoError(t, err)
	require.NoError(t, answer.Body.Close())
	require.Equal(t, http.StatusOK, answer.StatusCode)
	require.Equal(t, faults.Faults{TableOutage: true}, fix.platform.Faults())
	request, err = http.NewRequestWithContext(t.Context(), http.MethodGet, base+"/contents", nil)
	require.NoError(t, err)
	answer, err = client.Do(request)
	require.NoError(t, err)
	var con contents.Contents
	require.NoError(t, json.NewDecoder(answer.Body).Decode(&con))
	require.NoError(t, answer.Body.Close())
	require.Equal(t, fix.platform.Contents(), con)
	require.Equal(t, []byte("digest"), con.Rows[0].Value)
}

func TestClosedClientSendsNothing(t *testing.T) {
	fix := start(t)
	fix.table.Close()
	require.ErrorIs(t, fix.transact(t, rowwrite.Write{Key: "leases/ams-a"}), platformlink.ErrClosed)
	require.Zero(t, fix.platform.Contents().Writes)
}
