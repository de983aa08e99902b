package scenario

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"time"

	"eelgrasshollow/internal/peer"
)

const certificateLifetime = time.Hour

// peerTLS returns the settings with which processes trust only each other. All processes of a fleet
// share one certificate, which is self-signed and is thus also the authority that they trust.
func (f *fleet) peerTLS() string {
	if f.size.tls == 0 {
		return ""
	}
	return fmt.Sprintf("[peer_tls]\ncertificate_file = %s\nkey_file = %s\nauthority_file = %s\nrequire_client = true\n",
		f.path("peer.crt"), f.path("peer.key"), f.path("peer.crt"))
}

// writeCertificate creates a certificate for the loopback address of this test process, and its key.
func (f *fleet) writeCertificate() error {
	host, _, err := net.SplitHostPort(freeAddress())
	if err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template := x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), NotAfter: time.Now().Add(certificateLifetime),
		IPAddresses: []net.IP{net.ParseIP(host)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, &template, &template, &key.PublicKey, key)
	if err != nil {
		return err
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	if err := f.write("peer.crt", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))); err != nil {
		return err
	}
	return f.write("peer.key", string(pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: private})))
}

// pingWithoutTLS calls Peer.Ping of a process without TLS: plainpeer NAME.
func pingWithoutTLS(f *fleet, args []string) (string, error) {
	pool := peer.NewPool(peer.Options{})
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), peer.DefaultLivenessTimeout)
	defer cancel()
	return "", pool.Call(ctx, f.addresses[args[0]], "Peer.Ping", peer.Ping{}, &peer.Ping{})
}
