// Command harness2 runs the cases of the second review that are scripts, and their stand-in endpoints.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2
)

// caseTime ends a case that hangs.
const caseTime = 115 * time.Second

// cases are the cases by name. A case returns the ways in which the rule was broken; trouble is false for a run
// without the disruption.
var cases = map[string]func(f *fleet, trouble bool) (broken []string, err error){
	"cut-off-answer": cutOffAnswer,
	"raised-quota":   raisedQuota,
}

func main() {
	if len(os.Args) >= 2 && os.Args[1] == "endpoint" {
		os.Exit(runEndpoint(os.Args[2:]))
	}
	if len(os.Args) != 4 || os.Args[1] != "case" || cases[os.Args[2]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 case NAME RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[2], os.Args[3]))
}

// runCase runs one case and returns its exit status.
func runCase(name, path string) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }() // each line has been written
	r := &record{start: time.Now(), file: file}
	f, err := newFleet(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.close()
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	type outcome struct {
		broken []string
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := cases[name](f, os.Getenv("TROUBLE") != "0")
		done <- outcome{broken, err}
	}()
	select {
	case o := <-done:
		if o.err != nil {
			r.line("not run: %v", o.err)
			fmt.Fprintln(os.Stderr, o.err)
			return exitNotRun
		}
		for _, text := range o.broken {
			r.line("RULE BROKEN: %s", text)
		}
		if len(o.broken) > 0 {
			return exitBroken
		}
		r.line("the rule held")
		return exitHeld
	case <-ended:
	case <-time.After(caseTime):
		r.line("not run: out of time")
	}
	return exitNotRun
}
