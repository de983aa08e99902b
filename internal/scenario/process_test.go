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

// Ports come from below the range that the kernel gives to dialling sockets, so that
// a port stays free between the choice and its use.
const (
	firstPort = 12_000
	portCount = 18_000
)

var portsTaken atomic.Int64

func init() { portsTaken.Store(int64(os.Getpid()) * 131) }

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+portsTaken.Add(1)%portCount)
		l, err := net.Listen("tcp", address)
		if err == nil {
			_ = l.Close()
			return address
		}
	}
}

// process is one daemon or stand-in, which can be started again after its end.
type process struct {
	name string
	path string
	args []string
	log  string // file for standard error

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
	return nil
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
const stopBound = 30 * time.Second

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
