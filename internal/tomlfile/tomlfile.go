// Package tomlfile reads the operators' TOML files. Any error in one is reported in a single line,
// file:line:column: message, whether the reader detects it (an unknown key, a text instead of a number) or its caller (a
// zone that does not exist).
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

// File holds the name of a file that was read and the positions of its keys.
type File struct {
	Name      string
	positions map[string]position // by the key's path, see keyPositions
}

// position is a line and a column, both counted from 1.
type position struct{ line, column int }

// fileStart is the position of an error without one of its own.
var fileStart = position{1, 1}

// Error describes an error in a file and its position.
type Error struct {
	File         string
	Line, Column int
	Message      string
}

// Error returns file:line:column: message.
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Message)
}

// Read decodes a file into a struct. A key that the struct has no field for is an Error, as is any other error in the file.
// If the file can't be read, the error is that of os.ReadFile.
func Read(name string, into any) (*File, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return Decode(name, data, into)
}

// Decode is like Read for data that is not read from a file. Errors report it as a file of that name.
func Decode(name string, data []byte, into any) (*File, error) {
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return nil, convertError(name, err)
	}
	return &File{Name: name, positions: keyPositions(data)}, nil
}

// convertError converts an error of the TOML library.
func convertError(name string, err error) *Error {
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) && len(unknownKeys.Errors) > 0 {
		first := unknownKeys.Errors[0]
		line, column := first.Position()
		return &Error{name, line, column, "unknown key " + strings.Join(first.Key(), ".")}
	}
	var malformed *toml.DecodeError
	if errors.As(err, &malformed) {
		line, column := malformed.Position()
		message := strings.TrimPrefix(malformed.Error(), "toml: ")
		if key := strings.Join(malformed.Key(), "."); key != "" {
			message = key + ": " + message
		}
		return &Error{name, line, column, message}
	}
	return &Error{name, fileStart.line, fileStart.column, strings.TrimPrefix(err.Error(), "toml: ")}
}

// keyPositions parses the data again for the positions of its keys, which the decoder does not expose. A key's path
// joins the names of its tables with dots; the elements of an array of tables count from 0, as in fault.2.zone.
func keyPositions(data []byte) map[string]position {
	found, elements, table := map[string]position{}, map[string]int{}, ""
	parser := &unstable.Parser{}
	parser.Reset(data)
	for parser.NextExpression() {
		expression := parser.Expression()
		path, at := keyOf(parser, expression)
		switch expression.Kind {
		case unstable.Table:
			table = path + "."
			found[path] = at
		case unstable.ArrayTable:
			element := path + "." + strconv.Itoa(elements[path])
			elements[path]++
			table = element + "."
			found[element] = at
		case unstable.KeyValue:
			found[table+path] = at
		}
	}
	return found
}

// keyOf returns an expression's key, its parts joined by dots, and the position of the first part.
func keyOf(parser *unstable.Parser, expression *unstable.Node) (key string, at position) {
	var parts []string
	for iterator := expression.Key(); iterator.Next(); {
		node := iterator.Node()
		if len(parts) == 0 {
			first := parser.Shape(node.Raw).Start
			at = position{first.Line, first.Column}
		}
		parts = append(parts, string(node.Data))
	}
	return strings.Join(parts, "."), at
}

// Errorf returns an Error at a key. If the file lacks the key, the position is that of the innermost table that would
// contain it.
func (f *File) Errorf(key, format string, args ...any) error {
	message := key + ": " + fmt.Sprintf(format, args...)
	at := f.positionOf(key)
	return &Error{f.Name, at.line, at.column, message}
}

// positionOf returns the position of a key or of the innermost table around it.
func (f *File) positionOf(path string) position {
	for {
		if at, ok := f.positions[path]; ok {
			return at
		}
		dot := strings.LastIndexByte(path, '.')
		if dot < 0 {
			return fileStart
		}
		path = path[:dot]
	}
}
