// Package tlsconf builds TLS configurations from files and reads them again when they
// change, so that certificates are replaced without a restart.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Settings is a TLS section. Without a certificate file there is no TLS.
type Settings struct {
	CertificateFile string        `ini:"certificate_file" default:"" doc:"PEM chain of this process; empty turns TLS off."`
	KeyFile         string        `ini:"key_file" default:"" doc:"PEM key of the certificate."`
	AuthorityFile   string        `ini:"authority_file" default:"" doc:"PEM certificates that the other side's must come from; empty takes the system's."`
	RequireClient   bool          `ini:"require_client" default:"false" doc:"Refuse clients without a certificate."`
	ReloadEvery     time.Duration `ini:"reload_every" default:"5s" min:"10ms" max:"1h" doc:"Longest age of a certificate in use after its file has changed."`
}

// Enabled reports whether TLS is on.
func (s Settings) Enabled() bool { return s.CertificateFile != "" }

// Reloader keeps certificate, key and authorities current.
type Reloader struct {
	settings Settings

	mu          sync.Mutex
	checked     time.Time
	stamps      [3]stamp
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// stamp tells one state of a file from another.
type stamp struct {
	modified time.Time
	size     int64
}

// New reads the files once; a fault in them is an error here, and later leaves the
// last good ones in use.
func New(s Settings) (*Reloader, error) {
	f := &Reloader{settings: s}
	f.mu.Lock()
	defer f.mu.Unlock()
	stamps, err := f.look()
	if err != nil {
		return nil, err
	}
	return f, f.load(stamps)
}

// Server returns a configuration for listeners; protocols are offered in this order,
// such as "h2" and "http/1.1".
func (f *Reloader) Server(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, authorities := f.current()
			c := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: protocols, Certificates: []tls.Certificate{*certificate}}
			if f.settings.RequireClient {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, authorities
			}
			return c, nil
		},
		// Read by http.Server, which wants to see a certificate.
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			certificate, _ := f.current()
			return certificate, nil
		},
	}
}

// Client returns a configuration for connections to others, whose certificates must
// come from the authority file. A host name is checked; an IP address is not, as the
// authority is the fleet's own.
func (f *Reloader) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := f.current()
			return certificate, nil
		},
		// The usual check is done in VerifyConnection, against the current authorities.
		InsecureSkipVerify: true,
		VerifyConnection:   f.verify,
	}
}

func (f *Reloader) verify(state tls.ConnectionState) error {
	_, authorities := f.current()
	options := x509.VerifyOptions{DNSName: state.ServerName, Roots: authorities, Intermediates: x509.NewCertPool()}
	if len(state.PeerCertificates) == 0 || authorities == nil {
		return errors.New("peer sent no certificate, or no authority_file is set")
	}
	for _, c := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return errors.Wrap(err, "verify peer")
}

// current returns what is in force, reading changed files first.
func (f *Reloader) current() (*tls.Certificate, *x509.CertPool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.checked) >= f.settings.ReloadEvery {
		if stamps, err := f.look(); err == nil && stamps != f.stamps {
			// A half-written pair fails to load; the next look tries again.
			_ = f.load(stamps)
		}
	}
	return f.certificate, f.authorities
}

func (f *Reloader) look() ([3]stamp, error) {
	f.checked = time.Now()
	var stamps [3]stamp
	for i, path := range []string{f.settings.CertificateFile, f.settings.KeyFile, f.settings.AuthorityFile} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return stamps, errors.Wrap(err, "look at TLS file")
		}
		stamps[i] = stamp{info.ModTime(), info.Size()}
	}
	return stamps, nil
}

func (f *Reloader) load(stamps [3]stamp) error {
	certificate, err := tls.LoadX509KeyPair(f.settings.CertificateFile, f.settings.KeyFile)
	if err != nil {
		return errors.Wrap(err, "load certificate")
	}
	var authorities *x509.CertPool
	if f.settings.AuthorityFile != "" {
		pem, err := os.ReadFile(f.settings.AuthorityFile)
		if err != nil {
			return errors.Wrap(err, "read authorities")
		}
		authorities = x509.NewCertPool()
		if !authorities.AppendCertsFromPEM(pem) {
			return errors.New("authority file holds no certificate")
		}
	}
	f.certificate, f.authorities, f.stamps = &certificate, authorities, stamps
	return nil
}
