// Package settings reads INI files into typed structs and checks them.
//
// A struct describes the settings. Each of its fields is a struct that describes a section,
// and each field of a section describes a key. The tags are
//
//	ini:"name"       key or section name
//	default:"text"   value when the key is absent; without it the key is required
//	min:"text" max:"text"   bounds, parsed as the field's type
//	oneof:"a b c"    allowed words
//	doc:"text"       one sentence for the reference page
//
// Fields have the types string, bool, int, int64, uint64, float64, time.Duration, []string
// (comma separated) or Bytes. All problems of a file are reported together, each with its
// line and key.
package settings

import (
	"fmt"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/dustin/go-humanize"
	"gopkg.in/ini.v1"
)

// Bytes is a size in bytes. In a settings file it is written in a form such as "64 MiB".
type Bytes uint64

// Problem is one invalid or missing key of a settings file.
type Problem struct {
	Line    int // 0 if the key is absent
	Section string
	Key     string
	Text    string
}

// Error holds all problems of a settings file.
type Error struct {
	File     string
	Problems []Problem
}

// Error returns one line per problem.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = fmt.Sprintf("%s:%d: [%s] %s: %s", e.File, p.Line, p.Section, p.Key, p.Text)
	}
	return strings.Join(lines, "\n")
}

// Validator is implemented by a settings struct with checks that span several keys.
type Validator interface {
	// Validate returns the problems found, without line numbers. It is called only if each
	// key by itself is valid.
	Validate() []Problem
}

// Load reads and checks the settings file at path and stores it in the struct that out points
// to. Invalid settings are an *Error.
func Load(path string, out any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	return Parse(path, data, out)
}

// Parse is like Load for the content of a file. Problems name the file as path.
func Parse(path string, data []byte, out any) error {
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: false, KeyValueDelimiters: "=", IgnoreInlineComment: true}, data)
	if err != nil {
		return errors.Wrapf(err, "parse settings %s", path)
	}
	p := parser{file: file, lines: lineNumbers(data)}
	p.setFields(reflect.ValueOf(out).Elem())
	p.reportUnknown(reflect.TypeOf(out).Elem())
	if v, ok := out.(Validator); ok && len(p.problems) == 0 {
		for _, problem := range v.Validate() {
			problem.Line = p.lines[problem.Section+"\x00"+problem.Key]
			p.problems = append(p.problems, problem)
		}
	}
	if len(p.problems) > 0 {
		return &Error{File: path, Problems: p.problems}
	}
	return nil
}

type parser struct {
	file     *ini.File
	lines    map[string]int // by section and key, separated by a zero byte
	problems []Problem
}

// setFields sets every field of the settings struct from the file or from its default.
func (p *parser) setFields(root reflect.Value) {
	for i := range root.NumField() {
		section := root.Type().Field(i).Tag.Get("ini")
		value := root.Field(i)
		for j := range value.NumField() {
			p.setKey(section, value.Type().Field(j), value.Field(j))
		}
	}
}

func (p *parser) setKey(section string, field reflect.StructField, value reflect.Value) {
	key := field.Tag.Get("ini")
	text, hasDefault := field.Tag.Lookup("default")
	if s, err := p.file.GetSection(section); err == nil && s.HasKey(key) {
		text = s.Key(key).String()
	} else if !hasDefault {
		p.addProblem(section, key, "is required")
		return
	}
	if err := parseValue(value, text); err != nil {
		p.addProblem(section, key, fmt.Sprintf("%q is not a %s", text, typeName(field.Type)))
		return
	}
	if text := checkBounds(field, value); text != "" {
		p.addProblem(section, key, text)
	}
}

func (p *parser) addProblem(section, key, text string) {
	p.problems = append(p.problems, Problem{Line: p.lines[section+"\x00"+key], Section: section, Key: key, Text: text})
}

// reportUnknown adds a problem for each key of the file that the settings struct lacks.
func (p *parser) reportUnknown(root reflect.Type) {
	known := map[string]bool{}
	for i := range root.NumField() {
		section := root.Field(i).Tag.Get("ini")
		for j := range root.Field(i).Type.NumField() {
			known[section+"\x00"+root.Field(i).Type.Field(j).Tag.Get("ini")] = true
		}
	}
	for _, s := range p.file.Sections() {
		for _, k := range s.Keys() {
			if !known[s.Name()+"\x00"+k.Name()] {
				p.addProblem(s.Name(), k.Name(), "is not a known key")
			}
		}
	}
}

// parseValue parses text as v's type and stores it in v.
func parseValue(v reflect.Value, text string) error {
	switch v.Interface().(type) {
	case time.Duration:
		d, err := time.ParseDuration(text)
		v.SetInt(int64(d))
		return err
	case Bytes:
		n, err := humanize.ParseBytes(text)
		v.SetUint(n)
		return err
	case []string:
		v.Set(reflect.ValueOf(splitList(text)))
		return nil
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
		return nil
	case reflect.Bool:
		b, err := strconv.ParseBool(text)
		v.SetBool(b)
		return err
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(text, 10, 64)
		v.SetInt(n)
		return err
	case reflect.Uint64:
		n, err := strconv.ParseUint(text, 10, 64)
		v.SetUint(n)
		return err
	case reflect.Float64:
		f, err := strconv.ParseFloat(text, 64)
		v.SetFloat(f)
		return err
	}
	return errors.AssertionFailedf("settings field of unsupported type %s", v.Type())
}

func splitList(text string) []string {
	var list []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			list = append(list, part)
		}
	}
	return list
}

// typeName returns the description of a type for the text of a problem.
func typeName(t reflect.Type) string {
	switch t {
	case reflect.TypeFor[time.Duration]():
		return "duration such as 250ms"
	case reflect.TypeFor[Bytes]():
		return "size such as 64 MiB"
	}
	return t.String()
}

// checkBounds returns the text of the problem if value violates the tags oneof, min or max of
// its field, and "" otherwise.
func checkBounds(field reflect.StructField, value reflect.Value) string {
	if allowed := strings.Fields(field.Tag.Get("oneof")); len(allowed) > 0 {
		for _, w := range allowed {
			if w == value.String() {
				return ""
			}
		}
		return fmt.Sprintf("%q is none of %s", value.String(), strings.Join(allowed, ", "))
	}
	if low, ok := field.Tag.Lookup("min"); ok && compare(value, low) < 0 {
		return fmt.Sprintf("%v is below the least value %s", value.Interface(), low)
	}
	if high, ok := field.Tag.Lookup("max"); ok && compare(value, high) > 0 {
		return fmt.Sprintf("%v is above the greatest value %s", value.Interface(), high)
	}
	return ""
}

// compare compares value with a bound from a tag, which is parsed as the field's type. It
// returns -1, 0 or 1.
func compare(value reflect.Value, bound string) int {
	limit := reflect.New(value.Type()).Elem()
	if err := parseValue(limit, bound); err != nil {
		panic("settings: invalid bound in a tag: " + bound)
	}
	a, b := magnitude(value), magnitude(limit)
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// magnitude returns the number that bounds apply to: the value of a numeric field, or the
// length of another.
func magnitude(v reflect.Value) float64 {
	switch {
	case v.CanInt():
		return float64(v.Int())
	case v.CanUint():
		return float64(v.Uint())
	case v.CanFloat():
		return v.Float()
	}
	return float64(v.Len())
}

// lineNumbers returns the line number of each key, by section and key separated by a zero
// byte.
func lineNumbers(data []byte) map[string]int {
	lines := map[string]int{}
	section := ini.DefaultSection
	n := 0
	for line := range strings.SplitSeq(string(data), "\n") {
		n++
		line = strings.TrimSpace(line)
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			section = strings.Trim(line, "[]")
		default:
			key, _, _ := strings.Cut(line, "=")
			lines[section+"\x00"+strings.TrimSpace(key)] = n
		}
	}
	return lines
}
