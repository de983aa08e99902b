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

// Each test process has its own loopback address, so that ports do not collide with those of test
// processes that run concurrently on the same machine or of outgoing connections.
const (
	firstPort  = 12_000
	portCount  = 18_000
	octetCount = 250
)

var (
	host           = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()/octetCount%octetCount, 1+os.Getpid()%octetCount)
	portsAllocated atomic.Int64
)

// dialTimeout limits one attempt to connect to a process.
const dialTimeout = 2 * time.Second

// freeListener listens on a free port.
func freeListener() (net.Listener, error) {
	for range portCount {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, firstPort+portsAllocated.Add(1)%portCount))
		if err == nil {
			return l, nil
		}
	}
	return nil, errors.Newf("no free port at %s", host)
}

// freeAddress returns a loopback address with a free port.
func freeAddress() string {
	l, err := freeListener()
	if err != nil {
		panic(err)
	}
	_ = l.Close()
	return l.Addr().String()
}

// process is a daemon or stand-in. It can be started again after it has exited.
type process struct {
	name    string
	path    string
	args    []string
	logPath string // file for standard output and standard error
	// listenAddress is the address at which start waits for the process to listen. If it is empty,
	// start does not wait.
	listenAddress string

	cmd    *exec.Cmd
	exited chan struct{}
	err    error // result of Wait, valid once exited is closed
}

// ownProcessGroup puts a process into a group of its own. If the shell that started the tests ends
// first, the tests' group is orphaned, and the kernel sends SIGHUP to a group that is orphaned while
// one of its processes is paused.
func ownProcessGroup() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }

func (p *process) start() error {
	if p.running() {
		return errors.Newf("%s is already running", p.name)
	}
	logFile, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer logFile.Close()
	p.cmd = exec.Command(p.path, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	p.cmd.SysProcAttr = ownProcessGroup()
	p.cmd.Dir = filepath.Dir(p.logPath)
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

// listenTimeout limits the time from the start of a stand-in until it listens.
const listenTimeout = 20 * time.Second

func (p *process) awaitListening() error {
	if p.listenAddress == "" {
		return nil
	}
	for deadline := time.Now().Add(listenTimeout); time.Now().Before(deadline); time.Sleep(retryInterval) {
		c, err := net.DialTimeout("tcp", p.listenAddress, dialTimeout)
		if err == nil {
			return c.Close()
		}
	}
	return errors.Newf("%s did not listen within %v", p.name, listenTimeout)
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

// stopTimeout limits the time of a graceful stop.
const stopTimeout = 70 * time.Second

// shutdown sends SIGTERM and returns an error unless the process exits with status 0 in time.
func (p *process) shutdown() error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.exited:
		return errors.Wrapf(p.err, "%s did not exit cleanly", p.name)
	case <-time.After(stopTimeout):
		return errors.Newf("%s is still running %v after SIGTERM", p.name, stopTimeout)
	}
}

// crash kills the process with SIGKILL and waits for its exit.
func (p *process) crash() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.exited
	return nil
}

func (p *process) signal(s syscall.Signal) error {
	if !p.running() {
		if p.exited == nil {
			return errors.Newf("%s was not started", p.name)
		}
		return errors.Newf("%s is not running: %s, %v", p.name, p.cmd.ProcessState, p.err)
	}
	return p.cmd.Process.Signal(s)
}

// killIfRunning kills the process if the script has left it running, also if it is paused.
func (p *process) killIfRunning() {
	if p.running() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.crash()
	}
}
