package entry

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"eelgrasshollow/internal/connguard"
	"eelgrasshollow/internal/engine"
	"eelgrasshollow/internal/kernel"
	"eelgrasshollow/internal/keys"
	"eelgrasshollow/internal/membudget"
	"eelgrasshollow/internal/tlsconf"
	"eelgrasshollow/internal/watch"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// fakeModule makes a fake usable as a kernel module.
type fakeModule struct{}

func (fakeModule) Provision(*kernel.Kernel) error { return nil }
func (fakeModule) Start(context.Context) error    { return nil }
func (fakeModule) Stop(context.Context) error     { return nil }

type (
	directoryModule struct {
		fakeModule
		*fakeDirectory
	}
	limiterModule struct {
		fakeModule
		*fakeLimiter
	}
	journalModule struct {
		fakeModule
		*fakeJournal
	}
	routerModule struct {
		fakeModule
		*fakeRouter
	}
)

// writePair writes a certificate for 127.0.0.1 with the given serial number, and its key.
func writePair(t *testing.T, s tlsconf.Settings, serial int64) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	certificate, err := x509.CreateCertificate(rand.Reader, &template, &template, &key.PublicKey, key)
	assert.NilError(t, err)
	private, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	for path, block := range map[string]*pem.Block{
		s.KeyFile: {Type: "EC PRIVATE KEY", Bytes: private}, s.CertificateFile: {Type: "CERTIFICATE", Bytes: certificate},
	} {
		assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(block), 0o600))
		stamp := time.Now().Add(time.Duration(serial) * time.Second) // differs from the time of every earlier write
		assert.NilError(t, os.Chtimes(path, stamp, stamp))
	}
}

// startModule runs entry.http in a kernel, with the fakes and stand-ins of b.
func startModule(t *testing.T, b *testFront, s tlsconf.Settings) (*kernel.Kernel, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	_, engineSettings := defaults(t)
	k := kernel.New(zap.NewNop())
	k.Register("entry.directory", directoryModule{fakeDirectory: b.directory})
	k.Register("entry.grants", limiterModule{fakeLimiter: b.limiter})
	k.Register("entry.journal", journalModule{fakeJournal: b.journal})
	k.Register("entry.routing", routerModule{fakeRouter: b.router})
	responseMemory := membudget.New(membudget.LimitsFor(0).Responses, "responses")
	k.Register("entry.engine", engine.NewModule(engineSettings, responseMemory, zap.NewNop()))
	k.Register("entry.http", NewModule(Config{
		Settings: b.front.settings, TLS: s, Hasher: keys.NewHasher(testHashKey), Self: watch.VM{Name: "e1", Address: address},
		Guard: connguard.New(connguard.BoundsFor(0, 0), zap.NewNop()), Memory: membudget.New(membudget.LimitsFor(0).Requests, "requests"),
		ResponseMemory: responseMemory,
	}), Dependencies()...)
	assert.NilError(t, k.Start(t.Context()))
	return k, address
}

func TestModuleServesHTTP2OverTLSAndReloadsItsCertificate(t *testing.T) {
	b := newTestFront(t, nil)
	b.addEngine(0)
	dir := t.TempDir()
	s := tlsconf.Settings{CertificateFile: filepath.Join(dir, "c"), KeyFile: filepath.Join(dir, "k"), ReloadEvery: time.Nanosecond}
	writePair(t, s, 1)
	k, address := startModule(t, b, s)
	for serial := int64(1); serial <= 2; serial++ {
		writePair(t, s, serial)
		client := http.Client{Transport: &http.Transport{
			ForceAttemptHTTP2: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, // the serial number is checked instead
		}}
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "https://"+address+"/v1/chat/completions", strings.NewReader(fmt.Sprintf(chatBody, true, 5)))
		assert.NilError(t, err)
		r.Header.Set("Authorization", "Bearer "+b.token)
		r.Header.Set("Content-Type", "application/json")
		response, err := client.Do(r)
		assert.NilError(t, err)
		text, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		client.CloseIdleConnections()
		assert.Equal(t, response.ProtoMajor, 2)
		assert.Equal(t, response.TLS.PeerCertificates[0].SerialNumber.Int64(), serial)
		list := readEvents(t, string(text), 0)
		assert.Equal(t, list[len(list)-1], "[DONE]")
	}
	assert.Equal(t, len(k.Health()), 0)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	assert.NilError(t, k.Stop(ctx))
	_, err := net.DialTimeout("tcp", address, time.Second)
	assert.ErrorContains(t, err, "refused")
}

// Guards against connections with TLS whose framing is not read: a long head is refused, and what is inside the limit is
// served over HTTP/1.1 as well.
func TestModuleLimitsHeadsOverTLS(t *testing.T) {
	b := newTestFront(t, nil)
	dir := t.TempDir()
	s := tlsconf.Settings{CertificateFile: filepath.Join(dir, "c"), KeyFile: filepath.Join(dir, "k"), ReloadEvery: time.Nanosecond}
	writePair(t, s, 1)
	k, address := startModule(t, b, s)
	limit := int(b.front.settings.MaxHeader)
	for size, want := range map[int]int{limit / 2: http.StatusOK, limit: http.StatusRequestHeaderFieldsTooLarge} {
		client := http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}} // the certificate is the test's own
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "https://"+address+"/v1/entries", nil)
		assert.NilError(t, err)
		r.Header.Set("Authorization", "Bearer "+b.token)
		r.Header.Set("X-Long", strings.Repeat("x", size))
		response, err := client.Do(r)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.ProtoMajor, 1)
		assert.Equal(t, response.StatusCode, want, "%d bytes", size)
		client.CloseIdleConnections()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	assert.NilError(t, k.Stop(ctx))
}
