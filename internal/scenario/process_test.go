package scenario

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Each test process has a loopback address of its own, so that scenarios that run at
// the same time on one machine, and dialling sockets, don't take each other's ports.
const (
	firstPort = 12_000
	portCount = 18_000
	octet     = 250
)

var (
	host       = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()/octet%octet, 1+os.Getpid()%octet)
	portsTaken atomic.Int64
)

// dialTimeout bounds one look whether a process listens.
const dialTimeout = 2 * time.Second

// freeListener listens on a port that nothing else listens on.
func freeListener() (net.Listener, error) {
	for range portCount {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, firstPort+portsTaken.Add(1)%portCount))
		if err == nil {
			return l, nil
		}
	}
	return nil, errors.Newf("no free port at %s", host)
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() string {
	l, err := freeListener()
	if err != nil {
		panic(err)
	}
	_ = l.Close()
	return l.Addr().String()
}

// process is one daemon or stand-in, which can be started again after its end.
type process struct {
	name string
	path string
	args []string
	log  string // file for standard error
	// listens is where a started process must be reached before start returns; empty:
	// start does not wait.
	listens string

	cmd    *exec.Cmd
	exited chan struct{}
	err    error // how it ended
}

func (p *process) start() error {
	if p.running() {
		return errors.Newf("%s runs already", p.name)
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(p.path, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.Dir = filepath.Dir(p.log)
	if err := p.cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.name)
	}
	cmd, exited := p.cmd, make(chan struct{})
	p.exited = exited
	go func() {
		p.err = cmd.Wait()
		close(exited)
	}()
	return p.awaitListening()
}

// listenBound is the longest that a stand-in may take to listen.
const listenBound = 20 * time.Second

func (p *process) awaitListening() error {
	if p.listens == "" {
		return nil
	}
	for deadline := time.Now().Add(listenBound); time.Now().Before(deadline); time.Sleep(retryPause) {
		c, err := net.DialTimeout("tcp", p.listens, dialTimeout)
		if err == nil {
			return c.Close()
		}
	}
	return errors.Newf("%s does not listen after %v", p.name, listenBound)
}

func (p *process) running() bool {
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// stopBound is the longest that a graceful stop may take.
const stopBound = 70 * time.Second

// shutdown asks for a graceful stop and reports an exit that was not clean.
func (p *process) shutdown() error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.exited:
		return errors.Wrapf(p.err, "%s did not end cleanly", p.name)
	case <-time.After(stopBound):
		return errors.Newf("%s still runs %v after SIGTERM", p.name, stopBound)
	}
}

func (p *process) crash() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.exited
	return nil
}

func (p *process) signal(s syscall.Signal) error {
	if !p.running() {
		return errors.Newf("%s does not run", p.name)
	}
	return p.cmd.Process.Signal(s)
}

// end kills what a script left running.
func (p *process) end() {
	if p.running() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.crash()
	}
}
