package fleetauthority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"flamingoreach/io/fleettls"
)

// The names of the files that Write and WriteNode create in a folder.
const (
	AuthorityFile    = "authority.pem"
	AuthorityKeyFile = "authority.key"
	CertificateFile  = "node.pem"
	KeyFile          = "node.key"
)

const (
	fileMode = 0o600
	// serialBits is the length of a random serial number; RFC 5280 allows at most 20 octets.
	serialBits = 120
	// clockSkew is how far the start of validity is set back, so that a host whose clock is slow accepts a new
	// certificate.
	clockSkew            = 5 * time.Minute
	keyBlockType         = "EC PRIVATE KEY"
	certificateBlockType = "CERTIFICATE"
	authorityName        = "flamingoreach fleet"
)

// Authority signs the certificates of nodes.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// New creates an authority with a self-signed certificate that is valid for the given time from now.
func New(validFor time.Duration) (*Authority, error) {
	key, template, err := newKeyAndTemplate(validFor)
	if err != nil {
		return nil, err
	}
	template.Subject = pkix.Name{CommonName: authorityName}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "sign authority")
	}
	certificate, err := x509.ParseCertificate(der)
	return &Authority{certificate: certificate, key: key}, eris.Wrap(err, "parse authority")
}

// Read reads an authority from the files that Write created in a folder.
func Read(folder string) (*Authority, error) {
	certificate, err := readBlock(filepath.Join(folder, AuthorityFile), certificateBlockType)
	if err != nil {
		return nil, err
	}
	private, err := readBlock(filepath.Join(folder, AuthorityKeyFile), keyBlockType)
	if err != nil {
		return nil, err
	}
	aut := &Authority{}
	if aut.certificate, err = x509.ParseCertificate(certificate); err != nil {
		return nil, eris.Wrap(err, "parse authority")
	}
	aut.key, err = x509.ParseECPrivateKey(private)
	return aut, eris.Wrap(err, "parse authority's key")
}

// Write writes the authority's certificate and key to files in a folder.
func (aut *Authority) Write(folder string) error {
	if err := writeBlock(filepath.Join(folder, AuthorityFile), certificateBlockType, aut.certificate.Raw); err != nil {
		return err
	}
	return writeKey(filepath.Join(folder, AuthorityKeyFile), aut.key)
}

// WriteNode creates the certificate and key of a node and writes them, with the authority's certificate, to files in a folder.
func (aut *Authority) WriteNode(folder string, validFor time.Duration) error {
	key, template, err := newKeyAndTemplate(validFor)
	if err != nil {
		return err
	}
	template.DNSNames = []string{fleettls.ServerName}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, aut.certificate, &key.PublicKey, aut.key)
	if err != nil {
		return eris.Wrap(err, "sign node certificate")
	}
	if err := writeBlock(filepath.Join(folder, AuthorityFile), certificateBlockType, aut.certificate.Raw); err != nil {
		return err
	}
	if err := writeBlock(filepath.Join(folder, CertificateFile), certificateBlockType, der); err != nil {
		return err
	}
	return writeKey(filepath.Join(folder, KeyFile), key)
}

func newKeyAndTemplate(validFor time.Duration) (*ecdsa.PrivateKey, *x509.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, eris.Wrap(err, "generate key")
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, nil, eris.Wrap(err, "generate serial number")
	}
	now := time.Now()
	return key, &x509.Certificate{SerialNumber: serial, NotBefore: now.Add(-clockSkew), NotAfter: now.Add(validFor)}, nil
}

func writeKey(file string, key *ecdsa.PrivateKey) error {
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return eris.Wrap(err, "encode key")
	}
	return writeBlock(file, keyBlockType, der)
}

func writeBlock(file, kind string, der []byte) error {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return eris.Wrapf(os.WriteFile(file, text, fileMode), "write %s", file)
}

func readBlock(file, kind string) ([]byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrapf(err, "read %s", file)
	}
	block, _ := pem.Decode(text)
	if block == nil || block.Type != kind {
		return nil, eris.Errorf("read %s: want a PEM block %q", file, kind)
	}
	return block.Bytes, nil
}
