package fleetcontrol

import (
	"bytes"
	"strconv"
	"testing"
	"time"

	"eelgrasshollow/internal/errkind"
	"eelgrasshollow/internal/fleet"

	"gotest.tools/v3/assert"
)

// decodeNumber reads a document "VERSION:anything".
func decodeNumber(text []byte) (*fleet.Config, error) {
	number, _, _ := bytes.Cut(text, []byte(":"))
	v, err := strconv.ParseInt(string(number), 10, 64)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidRequest, "no version")
	}
	return &fleet.Config{Version: v}, nil
}

func apply(t *testing.T, m *Machine, index uint64, c command) []byte {
	data, err := c.encode()
	assert.NilError(t, err)
	return m.Apply(index, data)
}

func TestHighestVersionIsInForceAndTheFirstOfAVersionStays(t *testing.T) {
	m := NewMachine(decodeNumber, time.Now)
	assert.DeepEqual(t, apply(t, m, 1, command{Document: []byte("5:a")}), inForce)
	assert.DeepEqual(t, apply(t, m, 2, command{Document: []byte("5:b")}), superseded)
	assert.DeepEqual(t, apply(t, m, 3, command{Document: []byte("4:c")}), superseded)
	assert.Equal(t, string(m.State().Document), "5:a")
	assert.Equal(t, m.State().Revision, uint64(1))
	assert.DeepEqual(t, apply(t, m, 4, command{Document: []byte("9:d")}), inForce)
	assert.DeepEqual(t, apply(t, m, 5, command{Document: []byte("bad")}), refused)
	assert.DeepEqual(t, m.Apply(6, []byte("not a command")), refused)
	assert.Equal(t, string(m.State().Document), "9:d")
}

func TestNamedWeightsOnlyGrow(t *testing.T) {
	m := NewMachine(decodeNumber, time.Now)
	apply(t, m, 1, command{Model: "m", Version: 3})
	before := m.State()
	assert.DeepEqual(t, apply(t, m, 2, command{Model: "m", Version: 2}), superseded)
	apply(t, m, 3, command{Model: "n", Version: 1})
	assert.DeepEqual(t, m.State().TargetVersions, map[string]int64{"m": 3, "n": 1})
	assert.DeepEqual(t, before.TargetVersions, map[string]int64{"m": 3}) // what was handed out must not change
}

func TestWeightsAreNamedOnce(t *testing.T) {
	now := time.Unix(100, 0)
	m := NewMachine(decodeNumber, func() time.Time { return now })
	apply(t, m, 1, command{Model: "m", Version: 3})
	now = now.Add(time.Second)
	apply(t, m, 2, command{Model: "m", Version: 3})
	apply(t, m, 3, command{Model: "n", Version: 1})
	assert.DeepEqual(t, m.State().TargetHistory, map[string][]TargetVersion{"m": {{3, time.Unix(100, 0)}}, "n": {{1, time.Unix(101, 0)}}})
	apply(t, m, 4, command{Model: "m", Version: 4})
	assert.DeepEqual(t, m.State().TargetHistory["m"], []TargetVersion{{3, time.Unix(100, 0)}, {4, time.Unix(101, 0)}})
	for v := range int64(2 * namingsKept) {
		apply(t, m, uint64(5+v), command{Model: "m", Version: 5 + v})
	}
	assert.Equal(t, len(m.State().TargetHistory["m"]), namingsKept)
}

func TestSnapshotKeepsTheDocumentAsItWasSent(t *testing.T) {
	m := NewMachine(decodeNumber, time.Now)
	apply(t, m, 1, command{Document: []byte("5: { \"spaces\" : 1 } ")})
	apply(t, m, 2, command{Model: "m", Version: 3})
	var b bytes.Buffer
	assert.NilError(t, m.Snapshot(&b))
	other := NewMachine(decodeNumber, time.Now)
	assert.NilError(t, other.Restore(&b))
	assert.DeepEqual(t, other.State().Document, m.State().Document)
	assert.DeepEqual(t, other.State().TargetVersions, m.State().TargetVersions)
	assert.Equal(t, len(other.State().TargetHistory), 1)
	assert.Equal(t, other.State().Revision, uint64(2))
	assert.Equal(t, other.State().Config.Version, int64(5))
}
