package fleettls_test

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingoreach/io/fleetauthority"
	"flamingoreach/io/fleettls"
)

func newAuthority(t *testing.T) *fleetauthority.Authority {
	t.Helper()
	aut, err := fleetauthority.New(time.Hour)
	require.NoError(t, err)
	return aut
}

func write(t *testing.T, aut *fleetauthority.Authority, folder string) {
	t.Helper()
	require.NoError(t, aut.WriteNode(folder, time.Hour))
}

func load(t *testing.T, folder string) *fleettls.Credentials {
	t.Helper()
	cre, err := fleettls.Load(filepath.Join(folder, fleetauthority.AuthorityFile), filepath.Join(folder, fleetauthority.CertificateFile), filepath.Join(folder, fleetauthority.KeyFile))
	require.NoError(t, err)
	return cre
}

// handshake connects a client to a server and returns the error of either side.
func handshake(t *testing.T, client, server *fleettls.Credentials) error {
	t.Helper()
	socket, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = socket.Close() }()
	ended := make(chan error, 1)
	go func() {
		con, err := socket.Accept()
		if err == nil {
			err = tls.Server(con, server.Server()).HandshakeContext(t.Context())
			_ = con.Close()
		}
		ended <- err
	}()
	con, err := client.Dial(t.Context(), "tcp", socket.Addr().String())
	if err == nil {
		_ = con.Close()
	} else {
		_ = socket.Close()
	}
	if serverErr := <-ended; serverErr != nil {
		return serverErr
	}
	return err
}

func TestOnlyNodesOfTheFleetConnect(t *testing.T) {
	fleet, otherFleet := t.TempDir(), t.TempDir()
	write(t, newAuthority(t), fleet)
	write(t, newAuthority(t), otherFleet)
	require.NoError(t, handshake(t, load(t, fleet), load(t, fleet)))
	require.Error(t, handshake(t, load(t, otherFleet), load(t, fleet)))
	require.Error(t, handshake(t, load(t, fleet), load(t, otherFleet)))
}

// Guards against a node that keeps its old authority and certificate after the files were replaced, and so no longer
// connects to nodes that have the new ones. It also guards against a reload that fails, here because the key file is
// truncated, and leaves the node without usable credentials.
func TestCredentialsRotateWhileRunning(t *testing.T) {
	ownFolder, rotatedFolder := t.TempDir(), t.TempDir()
	write(t, newAuthority(t), ownFolder)
	next := newAuthority(t)
	write(t, next, rotatedFolder)
	cre := load(t, ownFolder)
	require.Error(t, handshake(t, cre, load(t, rotatedFolder)))
	write(t, next, ownFolder)
	require.NoError(t, cre.Reload())
	require.NoError(t, handshake(t, cre, load(t, rotatedFolder)))
	require.NoError(t, os.WriteFile(filepath.Join(ownFolder, fleetauthority.KeyFile), []byte("truncated"), 0o600))
	require.Error(t, cre.Reload())
	require.NoError(t, handshake(t, cre, load(t, rotatedFolder)), "after a failed reload the credentials read before stay in use")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, cre.ReloadPeriodically(ctx))
}
