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

// write makes a self-signed certificate with a serial number and writes its files.
func write(t *testing.T, dir string, serial int64) Settings {
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
	stamp := time.Now().Add(time.Duration(serial) * time.Second) // one that no earlier write had
	assert.NilError(t, os.Chtimes(s.CertificateFile, stamp, stamp))
	return s
}

// handshake returns the serial number that the client saw.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		conn, err := l.Accept()
		if err == nil {
			_, _ = conn.Write([]byte{1}) // shakes hands; the client sees whether it failed
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

func TestReplacedCertificateIsUsedAndABrokenOneIsNot(t *testing.T) {
	dir := t.TempDir()
	f, err := New(write(t, dir, 1))
	assert.NilError(t, err)
	server, client := f.Server(), f.Client()
	serial, err := handshake(t, server, client)
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(1))
	s := write(t, dir, 2)
	serial, err = handshake(t, server, client)
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(2))
	assert.NilError(t, os.WriteFile(s.KeyFile, []byte("half a file"), 0o600))
	serial, err = handshake(t, server, client)
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(2))
}

func TestStrangersAreRefused(t *testing.T) {
	f, err := New(write(t, t.TempDir(), 1))
	assert.NilError(t, err)
	stranger, err := New(write(t, t.TempDir(), 2))
	assert.NilError(t, err)
	_, err = handshake(t, f.Server(), stranger.Client())
	assert.Assert(t, err != nil)
	named := f.Client()
	named.ServerName = "other.example"
	_, err = handshake(t, f.Server(), named)
	assert.Assert(t, err != nil)
	bare := &tls.Config{InsecureSkipVerify: true}
	_, err = handshake(t, f.Server(), bare)
	assert.Assert(t, err != nil)
}
