package reference

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

func TestPageIsCurrent(t *testing.T) {
	var want bytes.Buffer
	assert.NilError(t, Write(&want))
	got, err := os.ReadFile(filepath.Join("..", "..", PagePath))
	assert.NilError(t, err)
	assert.Equal(t, string(got), want.String(), "regenerate with: go run ./cmd/eelgrass-reference > %s", PagePath)
}
