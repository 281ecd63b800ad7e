package fleettls

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// ServerName is the DNS name that the certificate of each node must hold.
const ServerName = "node.flamingoreach"

const (
	reloadInterval = 10 * time.Second
	dialTimeout    = time.Second
)

// Credentials holds this node's certificate and the fleet's authorities, and rereads them from their files while the node runs.
type Credentials struct {
	// OnReload, if set, is called after each periodic reload, with its error or nil.
	OnReload func(err error)

	authority, certificate, key string
	current                     atomic.Pointer[material]
}

type material struct {
	pool        *x509.CertPool
	certificate tls.Certificate
}

// Load reads PEM files; it fails if a file cannot be read or the key does not match the certificate.
func Load(authority, certificate, key string) (*Credentials, error) {
	cre := &Credentials{authority: authority, certificate: certificate, key: key}
	if err := cre.Reload(); err != nil {
		return nil, err
	}
	return cre, nil
}

// Reload reads the files again. If that fails, the credentials read before stay in use.
func (cre *Credentials) Reload() error {
	text, err := os.ReadFile(cre.authority)
	if err != nil {
		return eris.Wrap(err, "read fleet authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return eris.Errorf("read fleet authority %s: no certificate", cre.authority)
	}
	pair, err := tls.LoadX509KeyPair(cre.certificate, cre.key)
	if err != nil {
		return eris.Wrap(err, "read node certificate")
	}
	cre.current.Store(&material{pool: pool, certificate: pair})
	return nil
}

// ReloadPeriodically calls Reload at every reloadInterval until the context ends, and then returns nil. A failed Reload
// does not end it: the error goes to OnReload only, and the credentials read before stay in use.
func (cre *Credentials) ReloadPeriodically(ctx context.Context) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			err := cre.Reload()
			if cre.OnReload != nil {
				cre.OnReload(err)
			}
		}
	}
}

// Server returns the TLS configuration of a listener that accepts only nodes of the fleet. Each handshake uses the files as last read.
func (cre *Credentials) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			mat := cre.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{"h2"},
				Certificates: []tls.Certificate{mat.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    mat.pool,
			}, nil
		},
	}
}

// Dial connects to another node and fails if no authority of the fleet signed that node's certificate.
func (cre *Credentials) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	mat := cre.current.Load()
	dialer := &tls.Dialer{
		NetDialer: &net.Dialer{Timeout: dialTimeout},
		Config: &tls.Config{
			MinVersion:   tls.VersionTLS13,
			NextProtos:   []string{"h2"},
			ServerName:   ServerName,
			RootCAs:      mat.pool,
			Certificates: []tls.Certificate{mat.certificate},
		},
	}
	con, err := dialer.DialContext(ctx, network, address)
	return con, eris.Wrapf(err, "connect to node %s", address)
}
