// Package tlsconf builds TLS configurations from files and reloads changed files, so that
// certificates can be replaced without a restart.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Settings is a TLS section of the settings. TLS is off if CertificateFile is empty.
type Settings struct {
	CertificateFile string        `ini:"certificate_file" default:"" doc:"PEM chain of this process; empty turns TLS off."`
	KeyFile         string        `ini:"key_file" default:"" doc:"PEM key of the certificate."`
	AuthorityFile   string        `ini:"authority_file" default:"" doc:"PEM certificates that the other side's must come from; empty takes the system's."`
	RequireClient   bool          `ini:"require_client" default:"false" doc:"Refuse clients without a certificate."`
	ReloadEvery     time.Duration `ini:"reload_every" default:"5s" min:"10ms" max:"1h" doc:"Longest age of a certificate in use after its file has changed."`
}

// Enabled reports whether TLS is on.
func (s Settings) Enabled() bool { return s.CertificateFile != "" }

// Reloader holds the certificate, key and authorities and reloads them when their files change.
type Reloader struct {
	settings Settings

	mu          sync.Mutex   // guards the fields below
	checked     time.Time    // last check of the files
	loadedState [3]fileState // of the files in use: certificate, key, authorities
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// fileState identifies one version of a file; the zero value stands for no file.
type fileState struct {
	modified time.Time
	size     int64
}

// New loads the files. Invalid files are an error here; after a later change, invalid files
// are ignored and the last valid ones stay in use.
func New(s Settings) (*Reloader, error) {
	r := &Reloader{settings: s}
	r.mu.Lock()
	defer r.mu.Unlock()
	state, err := r.statFiles()
	if err != nil {
		return nil, err
	}
	return r, r.load(state)
}

// Server returns a configuration for listeners. The protocols, such as "h2" and "http/1.1",
// are offered in the given order.
func (r *Reloader) Server(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, authorities := r.current()
			c := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: protocols, Certificates: []tls.Certificate{*certificate}}
			if r.settings.RequireClient {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, authorities
			}
			return c, nil
		},
		// http.Server requires Certificates or GetCertificate to be set.
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			certificate, _ := r.current()
			return certificate, nil
		},
	}
}

// Client returns a configuration for outgoing connections. The peer's certificate must be
// issued by an authority in the authority file. It is checked against the host name of the
// address, but not against an IP address, because the authority is the fleet's own.
func (r *Reloader) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := r.current()
			return certificate, nil
		},
		// VerifyConnection does the usual check, against the current authorities.
		InsecureSkipVerify: true,
		VerifyConnection:   r.verify,
	}
}

// verify checks the peer's certificate chain against the current authorities.
func (r *Reloader) verify(state tls.ConnectionState) error {
	_, authorities := r.current()
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

// current returns the certificate and the authorities in use. It first reloads changed files
// if the last check is older than Settings.ReloadEvery.
func (r *Reloader) current() (*tls.Certificate, *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.checked) >= r.settings.ReloadEvery {
		if state, err := r.statFiles(); err == nil && state != r.loadedState {
			// Loading fails for a half-written pair; the next check retries it.
			_ = r.load(state)
		}
	}
	return r.certificate, r.authorities
}

// statFiles returns the present state of the files and records the time of the check. The
// caller holds r.mu.
func (r *Reloader) statFiles() ([3]fileState, error) {
	r.checked = time.Now()
	var state [3]fileState
	for i, path := range []string{r.settings.CertificateFile, r.settings.KeyFile, r.settings.AuthorityFile} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return state, errors.Wrap(err, "stat TLS file")
		}
		state[i] = fileState{info.ModTime(), info.Size()}
	}
	return state, nil
}

// load reads the files and puts them into use, with the state that they had before reading.
// On an error, the previous ones stay in use. The caller holds r.mu.
func (r *Reloader) load(state [3]fileState) error {
	certificate, err := tls.LoadX509KeyPair(r.settings.CertificateFile, r.settings.KeyFile)
	if err != nil {
		return errors.Wrap(err, "load certificate")
	}
	var authorities *x509.CertPool
	if r.settings.AuthorityFile != "" {
		pem, err := os.ReadFile(r.settings.AuthorityFile)
		if err != nil {
			return errors.Wrap(err, "read authorities")
		}
		authorities = x509.NewCertPool()
		if !authorities.AppendCertsFromPEM(pem) {
			return errors.New("authority file contains no certificate")
		}
	}
	r.certificate, r.authorities, r.loadedState = &certificate, authorities, state
	return nil
}
