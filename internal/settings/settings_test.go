package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

type sample struct {
	Node struct {
		Name  string        `ini:"name" doc:"VM name."`
		Peers []string      `ini:"peers" default:"" doc:"Peers."`
		Wait  time.Duration `ini:"wait" default:"1s" min:"10ms" max:"1m" doc:"How long."`
		Size  Bytes         `ini:"size" default:"1 MiB" max:"1 GiB" doc:"How much."`
		Level string        `ini:"level" default:"info" oneof:"debug info" doc:"Log level."`
	} `ini:"node"`
}

func TestParseValuesAndDefaults(t *testing.T) {
	var s sample
	assert.NilError(t, Parse("f", []byte("[node]\nname = a\npeers = x, y\nwait=2s\n"), &s))
	assert.DeepEqual(t, s.Node.Peers, []string{"x", "y"})
	assert.Equal(t, s.Node.Wait, 2*time.Second)
	assert.Equal(t, s.Node.Size, Bytes(1<<20))
}

func TestEveryProblemIsReportedWithItsLine(t *testing.T) {
	var s sample
	err := Parse("f.ini", []byte("[node]\nwait = 2h\nlevel = loud\nsize = much\ntypo = 1\n"), &s)
	var invalid *Error
	assert.Assert(t, errors.As(err, &invalid))
	assert.Equal(t, len(invalid.Problems), 5, err.Error())
	for _, want := range []string{"f.ini:0: [node] name: is required", "f.ini:2: [node] wait", "f.ini:3: [node] level", "f.ini:4: [node] size", "f.ini:5: [node] typo: is not a known key"} {
		assert.Assert(t, strings.Contains(err.Error(), want), want)
	}
}

func TestReferenceListsEveryKey(t *testing.T) {
	var b strings.Builder
	assert.NilError(t, Reference(&b, "sample", sample{}))
	assert.Assert(t, strings.Contains(b.String(), "| node | wait | time.Duration | 1s | 10ms to 1m | How long. |"))
}
