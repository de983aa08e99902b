package onplatform

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkRecovery measures, with real daemons on loopback, the time from a loss to full
// service: a change that is acknowledged, and every entry VM answering a call that needs
// tokens of its account.
//
//	go test -run '^$' -bench Recovery -benchtime 5x ./internal/onplatform
func BenchmarkRecovery(b *testing.B) {
	for _, c := range []struct {
		name string
		lose func(d *deployment)
	}{
		{"leader", func(d *deployment) { d.kill(d.leader()) }},
		{"all-control", func(d *deployment) { d.restart(cores) }},
		{"all-entry", func(d *deployment) { d.restart(entries) }},
		{"all", func(d *deployment) { d.restart(cores); d.restart(entries) }},
	} {
		b.Run(c.name, func(b *testing.B) {
			d := newDeployment(b)
			for n := 1; n <= 3; n++ {
				d.start(coreName(n), n, true)
				d.start(entryName(n), entryHost(n), true)
			}
			var sum, most time.Duration
			for version := 2; b.Loop(); version++ {
				d.eventually("all is well before", func() bool { return d.putAny(version*2) && d.serveAll() && d.leader() != "" })
				start := time.Now()
				c.lose(d)
				d.eventually("a change is acknowledged", func() bool { return d.putAny(version*2 + 1) })
				d.eventually("every VM serves again", d.serveAll)
				took := time.Since(start)
				sum, most = sum+took, max(most, took)
				for _, name := range cores {
					if d.vms[name] == nil {
						d.start(name, hostOf(name), false)
					}
				}
			}
			b.ReportMetric(float64(most.Milliseconds()), "ms/most")
			b.ReportMetric(float64(sum.Milliseconds())/float64(b.N), "ms/recovery")
		})
	}
}

// leader is the control VM that leads, or "".
func (d *deployment) leader() string {
	for _, name := range cores {
		status, text := ask("GET", "http://"+d.at(hostOf(name), metricsPort)+"/metrics", "", "", nil)
		if status == http.StatusOK && strings.Contains(text, "\neelgrass_control_leading 1") {
			return name
		}
	}
	return ""
}

// restart kills daemons together and starts them again at once.
func (d *deployment) restart(names []string) {
	for _, name := range names {
		assert.NilError(d.t, d.vms[name].Process.Kill())
	}
	for _, name := range names {
		_ = d.vms[name].Wait() // it was killed
		d.start(name, hostOf(name), false)
	}
}

// putAny sends a version to the control VMs that run, until one acknowledges it.
func (d *deployment) putAny(version int) bool {
	for _, name := range cores {
		if d.vms[name] != nil && d.put(hostOf(name), version, "/a/") {
			return true
		}
	}
	return false
}

func (d *deployment) serveAll() bool {
	for _, name := range entries {
		if status, body := d.call(hostOf(name), "/a/x"); status != http.StatusOK || body != "acc" {
			return false
		}
	}
	return true
}
