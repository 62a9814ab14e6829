// Package goldentest compares what this build writes or sends with files that an earlier build wrote.
//
// A stored or sent form must stay readable by the builds before and after, so each one has a small file in its
// package's testdata directory. A test that differs from its file has changed a form, and needs a new version of it
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

// Fill sets every exported field that v points to, however deep, to a value of its own. Slices and maps get one
// element, pointers a new value. The same type is always filled alike.
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

// Equal requires that data is what the file of that name in testdata holds.
func Equal(t *testing.T, name string, data []byte) {
	t.Helper()
	want, err := os.ReadFile(filepath.Join("testdata", name))
	require.NoError(t, err)
	require.Equal(t, string(want), string(data), name)
}

// Positional requires that v is encoded by internal/snapshot as the file says, and that the file is decoded into the same
// value. Fields of that form go by their position: v must have a value of its own in each, so that two fields that change
// places are noticed.
func Positional(t *testing.T, name string, v any) {
	t.Helper()
	Equal(t, name, snapshot.AppendStruct(nil, v))
	data, err := os.ReadFile(filepath.Join("testdata", name))
	require.NoError(t, err)
	read := reflect.New(reflect.TypeOf(v).Elem()).Interface()
	require.NoError(t, snapshot.ReadStruct(data, read))
	require.Equal(t, v, read, name)
}

// JSON requires that v, filled, is encoded as the file says, and that the file is decoded into the same value.
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
