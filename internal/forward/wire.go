// Package forward passes client requests to other entry VMs, one hop, while a VM reaches no
// server. The request is sent as gob in a POST request between VMs, and the response is the one
// that the other VM gives its own clients.
//
// Invariants:
//   - A forwarded request is never forwarded again.
//   - A VM that states that it has not run a request has sent no byte of it to a server.
package forward

import (
	"encoding/gob"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"eelgrasshollow/internal/gateway"

	"github.com/cockroachdb/errors"
)

const (
	// Path is the path at which VMs take forwarded requests.
	Path = "/v1/forward"
	// Version is the version of the encoding. A VM refuses other versions as not run. New fields
	// don't change it: gob ignores those that a build lacks.
	Version = 1
	// portOffset is the distance of the port for forwarded requests from the peer port.
	portOffset = 2
	// maxBodyBytes limits an encoded request. Front ends accept bodies of up to 64 MB.
	maxBodyBytes = 80 << 20
)

// Values of gateway.HeaderNotRun that are not kinds of errors.
const (
	reasonFull        = "full"
	reasonIsolated    = "isolated"
	reasonVersion     = "version"
	reasonUndecodable = "undecodable"
)

// preamble is encoded before the request, so that its version is known before the rest is decoded.
type preamble struct{ Version int }

// message is a forwarded request.
type message struct {
	Request  gateway.Request
	TimeLeft time.Duration
}

// Address returns the address for forwarded requests of the VM with a peer address.
func Address(peerAddress string) (string, error) {
	host, text, err := net.SplitHostPort(peerAddress)
	if err != nil {
		return "", errors.Wrapf(err, "peer address %q", peerAddress)
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		return "", errors.Wrapf(err, "port of the peer address %q", peerAddress)
	}
	return net.JoinHostPort(host, strconv.Itoa(port+portOffset)), nil
}

// encode writes a request to be forwarded.
func encode(w io.Writer, version int, m *message) error {
	encoder := gob.NewEncoder(w)
	if err := encoder.Encode(preamble{version}); err != nil {
		return errors.Wrap(err, "encode the version")
	}
	return errors.Wrap(encoder.Encode(m), "encode the request")
}

// errVersion is the error of a request in an unknown encoding.
var errVersion = errors.New("forwarded request has another version")

// decode reads a forwarded request.
func decode(r io.Reader) (*message, error) {
	decoder := gob.NewDecoder(r)
	var p preamble
	if err := decoder.Decode(&p); err != nil {
		return nil, errors.Wrap(err, "decode the version")
	}
	if p.Version != Version {
		return nil, errors.Wrapf(errVersion, "version %d", p.Version)
	}
	var m message
	return &m, errors.Wrap(decoder.Decode(&m), "decode the request")
}

// responseOnly are header fields of one connection or of this package, which clients don't get.
var responseOnly = []string{"Connection", "Date", "Transfer-Encoding", "Content-Length", headerForwarded, gateway.HeaderNotRun}

// clientHeader returns the header fields of a response for the client.
func clientHeader(h http.Header) http.Header {
	h = h.Clone()
	for _, name := range responseOnly {
		h.Del(name)
	}
	return h
}
