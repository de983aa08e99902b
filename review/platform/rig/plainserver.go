package rig

import (
	"io"
	"net"
	"net/http"
	"sync"
)

// PlainRun is a request that a plain server has run.
type PlainRun struct {
	Server, Service, Request, Line, Tenant string
	Body                                   string
}

// PlainServer is a stand-in for a server of an application.
type PlainServer struct {
	rig         *Rig
	ID, Service string
	Address     string

	mu   sync.Mutex
	runs []PlainRun
}

// StartPlainServer starts a plain server on a host.
func (r *Rig) StartPlainServer(id, service string, host int) (*PlainServer, error) {
	listener, err := net.Listen("tcp", r.Addr(host, listPort))
	if err != nil {
		return nil, err
	}
	s := &PlainServer{rig: r, ID: id, Service: service, Address: listener.Addr().String()}
	go func() { _ = http.Serve(listener, s) }() // ends with the process
	return s, nil
}

// Instance returns the server's entry of the platform's list.
func (s *PlainServer) Instance(zone string) Instance {
	return Instance{
		ID: s.ID, Service: s.Service, Address: s.Address, Zone: zone, Version: "v1", Slots: 6, State: "ready", Born: s.rig.start.UnixMilli(),
	}
}

// Runs returns what the server has run.
func (s *PlainServer) Runs() []PlainRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]PlainRun{}, s.runs...)
}

// ServeHTTP implements http.Handler.
func (s *PlainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the sender has disconnected
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Instance-Id", s.ID)
	if r.URL.Path == "/health" {
		return
	}
	w.Header().Set("X-Request-Id", id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	run := PlainRun{Server: s.ID, Service: s.Service, Request: id, Line: r.Method + " " + r.RequestURI, Tenant: r.Header.Get("X-Tenant"), Body: string(body)}
	s.mu.Lock()
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	s.rig.Log("server %s of service %s runs request %s: %s", s.ID, s.Service, id, run.Line)
	w.Header().Set("X-Response-Stamp", "stamp."+id+"."+s.ID)
	_, _ = io.WriteString(w, "answer of "+s.Service) // the sender may have disconnected
}
