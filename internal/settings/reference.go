package settings

import (
	"fmt"
	"io"
	"reflect"
)

// Reference writes a Markdown section with a table of all keys of a settings struct. Only the
// type of sample, a value of the struct, is used.
func Reference(w io.Writer, title string, sample any) error {
	root := reflect.TypeOf(sample)
	if _, err := fmt.Fprintf(w, "## %s\n\n| section | key | type | default | bounds | meaning |\n|---|---|---|---|---|---|\n", title); err != nil {
		return err
	}
	for i := range root.NumField() {
		section := root.Field(i)
		for j := range section.Type.NumField() {
			if err := writeRow(w, section.Tag.Get("ini"), section.Type.Field(j)); err != nil {
				return err
			}
		}
	}
	_, err := fmt.Fprintln(w)
	return err
}

// writeRow writes the table row of one key.
func writeRow(w io.Writer, section string, f reflect.StructField) error {
	value, ok := f.Tag.Lookup("default")
	if !ok {
		value = "*required*"
	}
	_, err := fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s |\n",
		section, f.Tag.Get("ini"), f.Type, value, boundsText(f), f.Tag.Get("doc"))
	return err
}

// boundsText returns the allowed words or the bounds of a key, or "" if it has none.
func boundsText(f reflect.StructField) string {
	if allowed := f.Tag.Get("oneof"); allowed != "" {
		return allowed
	}
	low, high := f.Tag.Get("min"), f.Tag.Get("max")
	if low == "" && high == "" {
		return ""
	}
	return low + " to " + high
}
