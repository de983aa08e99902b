// Package firstwrite tells when the first byte of a request is about to leave on a connection,
// and can keep it from leaving. Until then the request has certainly not run.
package firstwrite

import "net"

// Conn calls a function immediately before its first write. It is used by one goroutine at a
// time.
type Conn struct {
	net.Conn
	begin func() error
	begun bool  // begin has succeeded
	err   error // error of begin
}

// New returns a connection that calls begin on the first Write. If begin fails, nothing is
// written and every Write returns its error.
func New(conn net.Conn, begin func() error) *Conn { return &Conn{Conn: conn, begin: begin} }

// Begun reports whether begin has been called and has succeeded.
func (c *Conn) Begun() bool { return c.begun }

// Err returns the error of begin, if it has failed.
func (c *Conn) Err() error { return c.err }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	if !c.begun {
		if c.err = c.begin(); c.err != nil {
			return 0, c.err
		}
		c.begun = true
	}
	return c.Conn.Write(p)
}
