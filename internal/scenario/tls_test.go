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

const certificateLife = time.Hour

// peerTLS returns the settings under which processes trust only each other. All of a
// fleet's processes have one certificate, which is its own authority.
func (f *fleet) peerTLS() string {
	if f.shape.tls == 0 {
		return ""
	}
	return fmt.Sprintf("[peer_tls]\ncertificate_file = %s\nkey_file = %s\nauthority_file = %s\nrequire_client = true\n",
		f.path("peer.crt"), f.path("peer.key"), f.path("peer.crt"))
}

// writeCertificate makes a certificate for the loopback address of this test process.
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
		SerialNumber: big.NewInt(time.Now().UnixNano()), NotAfter: time.Now().Add(certificateLife),
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

// plainPeer calls a control VM as another process would, without TLS.
func plainPeer(f *fleet, args []string) (string, error) {
	pool := peer.NewPool(peer.Options{})
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), peer.DefaultLivenessTimeout)
	defer cancel()
	return "", pool.Call(ctx, f.addresses[args[0]], "Peer.Ping", peer.Ping{}, &peer.Ping{})
}
