// Package settings reads TOML files and reports each error with its line and key. It defines the form of
// those messages; the users of the package decide which values are valid. A file is accepted or rejected
// as a whole, and all errors are reported together.
package settings

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
)

// File is a file that is being validated.
type File struct {
	name       string
	lines      map[string]int // of keys, with the index of their table in an array of tables
	plainLines map[string][]int
	errs       []lineError
}

type lineError struct {
	line int
	text string
}

// Load reads a file into a value. The returned File collects the errors that the caller finds.
func Load(path string, into any) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, string(text), into)
}

// Parse reads a text into a value. Keys without a field in the value are errors, as a misspelt key would
// otherwise go unnoticed.
func Parse(name, text string, into any) (*File, error) {
	f := &File{name: name, lines: map[string]int{}, plainLines: map[string][]int{}}
	f.scan(text)
	meta, err := toml.Decode(text, into)
	var parseErr toml.ParseError
	if errors.As(err, &parseErr) {
		line := parseErr.Position.Line
		key := ""
		if parseErr.LastKey != "" {
			key = parseErr.LastKey + ": "
		}
		return nil, fmt.Errorf("%s:%d: %s%s", name, line, key, parseErr.Message)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	reported := map[string]bool{}
	for _, k := range meta.Undecoded() {
		key := strings.Join(k, ".")
		if reported[key] || acceptsAnyKey(reflect.TypeOf(into), k) {
			continue
		}
		reported[key] = true
		for _, line := range f.plainLines[key] {
			f.errs = append(f.errs, lineError{line, "unknown key " + key})
		}
		if len(f.plainLines[key]) == 0 {
			f.errs = append(f.errs, lineError{0, "unknown key " + key})
		}
	}
	return f, nil
}

// acceptsAnyKey reports whether a key is inside a table of free form. The library counts deeper keys there
// as undecoded.
func acceptsAnyKey(t reflect.Type, key []string) bool {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	switch t.Kind() {
	case reflect.Map:
		return t.Elem().Kind() == reflect.Interface
	case reflect.Struct:
		for i := range t.NumField() {
			name, _, _ := strings.Cut(t.Field(i).Tag.Get("toml"), ",")
			if len(key) > 1 && name == key[0] {
				return acceptsAnyKey(t.Field(i).Type, key[1:])
			}
		}
	}
	return false
}

// scan finds the line of each key. It only has to handle what toml.Decode accepts.
func (f *File) scan(text string) {
	table, plain, quote, depth := "", "", "", 0
	counts := map[string]int{}
	for i, line := range strings.Split(text, "\n") {
		rest := strings.TrimSpace(line)
		open := quote != "" || depth > 0
		if !open && strings.HasPrefix(rest, "[") {
			name, _, _ := strings.Cut(strings.Trim(rest, "["), "]")
			name = strings.TrimSpace(name)
			table, plain = name, name
			if strings.HasPrefix(rest, "[[") {
				counts[name]++
				table = fmt.Sprintf("%s[%d]", name, counts[name])
			} else if parent, child, ok := cutLast(name); ok && counts[parent] > 0 { // in the last
				table = fmt.Sprintf("%s[%d].%s", parent, counts[parent], child)
			}
			f.addLine(table, plain, i+1)
			continue
		}
		if key, _, ok := strings.Cut(rest, "="); ok && !open && !strings.HasPrefix(rest, "#") {
			key = strings.Trim(strings.TrimSpace(key), `"'`)
			at, short := key, key
			if table != "" {
				at, short = table+"."+key, plain+"."+key
			}
			f.addLine(at, short, i+1)
		}
		quote, depth = trackOpen(rest, quote, depth)
	}
}

func cutLast(name string) (before, after string, ok bool) {
	i := strings.LastIndexByte(name, '.')
	if i < 0 {
		return "", "", false
	}
	return name[:i], name[i+1:], true
}

// trackOpen updates the state of strings and lists that a line leaves open.
func trackOpen(line, quote string, depth int) (string, int) {
	for i := 0; i < len(line); i++ {
		rest := line[i:]
		if quote != "" {
			switch {
			case rest[0] == '\\' && quote[0] == '"':
				i++
			case strings.HasPrefix(rest, quote):
				i += len(quote) - 1
				quote = ""
			}
			continue
		}
		switch {
		case strings.HasPrefix(rest, `"""`), strings.HasPrefix(rest, `'''`):
			quote = rest[:3]
			i += 2
		case rest[0] == '"', rest[0] == '\'':
			quote = rest[:1]
		case rest[0] == '#':
			return "", depth
		case rest[0] == '[', rest[0] == '{':
			depth++
		case rest[0] == ']', rest[0] == '}':
			depth--
		}
	}
	if len(quote) == 1 { // such a string cannot span lines
		quote = ""
	}
	return quote, depth
}

func (f *File) addLine(at, plain string, line int) {
	f.lines[at] = line
	f.plainLines[plain] = append(f.plainLines[plain], line)
}

// Line returns the line of a key, or of the table that it belongs to, or 0 if there is neither.
func (f *File) Line(key string) int {
	for {
		if line, ok := f.lines[key]; ok {
			return line
		}
		i := strings.LastIndexByte(key, '.')
		if i < 0 {
			return 0
		}
		key = key[:i]
	}
}

// AddError records an error at a key. A key in an array of tables contains the table's number, counted
// from 1: server[2].name.
func (f *File) AddError(key, format string, args ...any) {
	f.errs = append(f.errs, lineError{f.Line(key), key + ": " + fmt.Sprintf(format, args...)})
}

// Require records an error unless a condition holds.
func (f *File) Require(holds bool, key, format string, args ...any) {
	if !holds {
		f.AddError(key, format, args...)
	}
}

// Err returns all errors in the order of their lines.
func (f *File) Err() error {
	if len(f.errs) == 0 {
		return nil
	}
	slices.SortStableFunc(f.errs, func(a, b lineError) int { return a.line - b.line })
	list := make([]error, len(f.errs))
	for i, x := range f.errs {
		if x.line > 0 {
			list[i] = fmt.Errorf("%s:%d: %s", f.name, x.line, x.text)
		} else {
			list[i] = fmt.Errorf("%s: %s", f.name, x.text)
		}
	}
	return errors.Join(list...)
}

// Overlay merges the settings of one object over those of another.
func Overlay(base, override map[string]any) {
	for k, v := range override {
		a, ok1 := base[k].(map[string]any)
		b, ok2 := v.(map[string]any)
		if ok1 && ok2 {
			Overlay(a, b)
		} else {
			base[k] = v
		}
	}
}
