// Package reference writes the page of all settings from their definitions.
package reference

import (
	"io"

	"eelgrasshollow/internal/controld"
	"eelgrasshollow/internal/entryd"
	"eelgrasshollow/internal/load"
	"eelgrasshollow/internal/settings"
)

// PagePath is the committed page, relative to the root of the repository.
const PagePath = "docs/operators/settings.md"

const head = `# Settings

Generated from the settings' definitions by ` + "`go run ./cmd/eelgrass-reference > " + PagePath + "`" + `.
A file is INI: sections in brackets, one ` + "`key = value`" + ` a line, whole-line comments with ` + "`#`" + `. A
key without a default must be there; an unknown key is refused.

`

// Write writes the page.
func Write(w io.Writer) error {
	if _, err := io.WriteString(w, head); err != nil {
		return err
	}
	for _, d := range daemons() {
		if err := settings.Reference(w, d.name, d.sample); err != nil {
			return err
		}
	}
	return nil
}

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
