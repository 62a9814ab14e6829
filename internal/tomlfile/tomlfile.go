// Package tomlfile reads the operators' TOML files. Whatever is wrong is one line, file:line:column: what, whether the
// reader finds it (an unknown key, a text for a number) or the one who asked for the file (a zone that isn't there).
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// File is a file that was read, with the place of each of its keys.
type File struct {
	Name   string
	places map[string]place
}

type place struct{ line, column int }

// Error is what is wrong, and where.
type Error struct {
	File         string
	Line, Column int
	What         string
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.What)
}

// Read reads a file into a value; a key that the value has no field for is an error.
func Read(name string, into any) (*File, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return Decode(name, data, into)
}

// Decode reads text as if it were a file of that name.
func Decode(name string, data []byte, into any) (*File, error) {
	d := toml.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	var missing *toml.StrictMissingError
	var odd *toml.DecodeError
	switch {
	case errors.As(err, &missing) && len(missing.Errors) > 0:
		line, column := missing.Errors[0].Position()
		return nil, &Error{name, line, column, "unknown key " + strings.Join(missing.Errors[0].Key(), ".")}
	case errors.As(err, &odd):
		line, column := odd.Position()
		what := strings.TrimPrefix(odd.Error(), "toml: ")
		if key := strings.Join(odd.Key(), "."); key != "" {
			what = key + ": " + what
		}
		return nil, &Error{name, line, column, what}
	case err != nil:
		return nil, &Error{name, 1, 1, strings.TrimPrefix(err.Error(), "toml: ")}
	}
	return &File{name, places(data)}, nil
}

// places walks the text once more for where its keys stand; a list of tables counts from 0: trouble.2.zone.
func places(data []byte) map[string]place {
	found, counts, under := map[string]place{}, map[string]int{}, ""
	p := &unstable.Parser{}
	p.Reset(data)
	for p.NextExpression() {
		e := p.Expression()
		var keys []string
		var at place
		for k := e.Key(); k.Next(); {
			if n := k.Node(); len(keys) == 0 {
				s := p.Shape(n.Raw).Start
				at = place{s.Line, s.Column}
			}
			keys = append(keys, string(k.Node().Data))
		}
		path := strings.Join(keys, ".")
		switch e.Kind {
		case unstable.Table:
			under = path + "."
			found[path] = at
		case unstable.ArrayTable:
			numbered := path + "." + strconv.Itoa(counts[path])
			counts[path]++
			under = numbered + "."
			found[numbered] = at
		case unstable.KeyValue:
			found[under+path] = at
		}
	}
	return found
}

// Errorf is an error at a key; of a key that isn't there, at the nearest table that should have it.
func (f *File) Errorf(key, format string, args ...any) error {
	what := key + ": " + fmt.Sprintf(format, args...)
	for path := key; ; {
		if at, ok := f.places[path]; ok {
			return &Error{f.Name, at.line, at.column, what}
		}
		cut := strings.LastIndexByte(path, '.')
		if cut < 0 {
			return &Error{f.Name, 1, 1, what}
		}
		path = path[:cut]
	}
}
