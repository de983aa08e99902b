// Package reference generates the reference page of all settings from their definitions.
package reference

import (
	"io"

	"eelgrasshollow/internal/controld"
	"eelgrasshollow/internal/entryd"
	"eelgrasshollow/internal/load"
	"eelgrasshollow/internal/settings"
)

// PagePath is the path of the committed page, relative to the root of the repository.
const PagePath = "docs/operators/settings.md"

const header = `# Settings

Generated from the settings' definitions by ` + "`go run ./cmd/eelgrass-reference > " + PagePath + "`" + `.
A file is INI: sections in brackets, one ` + "`key = value`" + ` a line, whole-line comments with ` + "`#`" + `. A
key without a default must be there; an unknown key is refused.

`

// Write writes the reference page.
func Write(w io.Writer) error {
	if _, err := io.WriteString(w, header); err != nil {
		return err
	}
	for _, d := range daemons() {
		if err := settings.Reference(w, d.name, d.sample); err != nil {
			return err
		}
	}
	return nil
}

// daemon is a program with its settings; sample is the zero value of the settings struct.
type daemon struct {
	name   string
	sample any
}

func daemons() []daemon {
	return []daemon{
		{"eelgrass-control", controld.Settings{}},
		{"eelgrass-entry", entryd.Settings{}},
		{"eelgrass-load", load.Settings{}},
	}
}
