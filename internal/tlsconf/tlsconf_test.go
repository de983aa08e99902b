package tlsconf

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// writeCertificate writes the files of a new self-signed certificate with the serial number
// and returns settings for them.
func writeCertificate(t *testing.T, dir string, serial int64) Settings {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "entry"}, NotAfter: time.Now().Add(time.Hour),
		DNSNames: []string{"entry.example"}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, &template, &template, &key.PublicKey, key)
	assert.NilError(t, err)
	private, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	s := Settings{
		CertificateFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem"),
		AuthorityFile: filepath.Join(dir, "cert.pem"), RequireClient: true, ReloadEvery: time.Nanosecond,
	}
	assert.NilError(t, os.WriteFile(s.CertificateFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	assert.NilError(t, os.WriteFile(s.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: private}), 0o600))
	modified := time.Now().Add(time.Duration(serial) * time.Second) // differs from that of earlier certificates
	assert.NilError(t, os.Chtimes(s.CertificateFile, modified, modified))
	return s
}

// handshake connects client to server and returns the serial number of the certificate that
// the client received.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		conn, err := l.Accept()
		if err == nil {
			_, _ = conn.Write([]byte{1}) // completes the handshake; the client gets its error
			_ = conn.Close()
		}
	}()
	c, err := tls.Dial("tcp", l.Addr().String(), client)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	_, err = c.Read(make([]byte, 1))
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), err
}

func TestReloadUsesReplacedAndIgnoresInvalidCertificate(t *testing.T) {
	dir := t.TempDir()
	reloader, err := New(writeCertificate(t, dir, 1))
	assert.NilError(t, err)
	server, client := reloader.Server(), reloader.Client()
	serial, err := handshake(t, server, client)
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(1))
	s := writeCertificate(t, dir, 2)
	serial, err = handshake(t, server, client)
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(2))
	assert.NilError(t, os.WriteFile(s.KeyFile, []byte("half a file"), 0o600))
	serial, err = handshake(t, server, client)
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(2))
}

func TestUntrustedPeersAreRefused(t *testing.T) {
	reloader, err := New(writeCertificate(t, t.TempDir(), 1))
	assert.NilError(t, err)
	untrusted, err := New(writeCertificate(t, t.TempDir(), 2))
	assert.NilError(t, err)
	_, err = handshake(t, reloader.Server(), untrusted.Client())
	assert.Assert(t, err != nil)
	wrongName := reloader.Client()
	wrongName.ServerName = "other.example"
	_, err = handshake(t, reloader.Server(), wrongName)
	assert.Assert(t, err != nil)
	withoutCertificate := &tls.Config{InsecureSkipVerify: true}
	_, err = handshake(t, reloader.Server(), withoutCertificate)
	assert.Assert(t, err != nil)
}
