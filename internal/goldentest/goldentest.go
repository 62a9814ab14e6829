// Package goldentest compares what this build writes or sends with golden files that an earlier build wrote.
//
// A stored or sent format must stay readable by the builds before and after, so each one has a small golden file in its
// package's testdata directory. If a test no longer matches its file, the format has changed, and needs a new version
// rather than a new file.
package goldentest

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"

	"pearknot/internal/snapshot"
)

// Fill sets every exported field of the value that v points to, recursively, to a distinct value. Slices and maps get one
// element, pointers a new value. The result depends only on the type.
func Fill(v any) {
	next := 0
	fill(reflect.ValueOf(v).Elem(), &next)
}

func fill(v reflect.Value, next *int) {
	*next++
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*next % 100))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*next % 100))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*next) + 0.5)
	case reflect.String:
		v.SetString("text " + string(rune('a'+*next%26)))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), next)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), next)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), next)
		}
	case reflect.Map:
		key, element := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, next)
		fill(element, next)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, element)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), next)
			}
		}
	}
}

// Equal requires that data equals the content of the named file in testdata.
func Equal(t *testing.T, name string, data []byte) {
	t.Helper()
	want, err := os.ReadFile(filepath.Join("testdata", name))
	require.NoError(t, err)
	require.Equal(t, string(want), string(data), name)
}

// Positional requires that internal/snapshot encodes v as in the file, and decodes the file into the same value. That
// format identifies fields by position: v must have a distinct value in each field, so that swapped fields are detected.
func Positional(t *testing.T, name string, v any) {
	t.Helper()
	Equal(t, name, snapshot.AppendStruct(nil, v))
	data, err := os.ReadFile(filepath.Join("testdata", name))
	require.NoError(t, err)
	read := reflect.New(reflect.TypeOf(v).Elem()).Interface()
	require.NoError(t, snapshot.ReadStruct(data, read))
	require.Equal(t, v, read, name)
}

// JSON requires that v, filled, is encoded as in the file, and that the file is decoded into the same value.
func JSON(t *testing.T, name string, v any) {
	t.Helper()
	Fill(v)
	data, err := json.MarshalIndent(v, "", " ")
	require.NoError(t, err)
	Equal(t, name, append(data, '\n'))
	read := reflect.New(reflect.TypeOf(v).Elem())
	require.NoError(t, json.Unmarshal(data, read.Interface()))
	require.Equal(t, v, read.Interface(), name)
}
