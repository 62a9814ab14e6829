package snapshot

import (
	"math"
	"reflect"

	"google.golang.org/protobuf/encoding/protowire"
)

// appendFields appends the fields of a struct, each under its position.
func appendFields(data []byte, structValue reflect.Value) []byte {
	for i := range structValue.NumField() {
		data = appendField(data, protowire.Number(i+1), structValue.Field(i))
	}
	return data
}

// appendField appends one field, or nothing if it holds its zero value.
func appendField(data []byte, number protowire.Number, field reflect.Value) []byte {
	switch field.Kind() {
	case reflect.Float64:
		bits := math.Float64bits(field.Float())
		if bits == 0 { // minus zero has a bit set and is encoded
			return data
		}
		data = protowire.AppendTag(data, number, protowire.Fixed64Type)
		return protowire.AppendFixed64(data, bits)
	case reflect.Struct:
		return appendNonEmptyBytes(data, number, appendFields(nil, field))
	case reflect.String:
		return appendNonEmptyBytes(data, number, []byte(field.String()))
	case reflect.Slice:
		return appendSlice(data, number, field)
	case reflect.Array:
		if field.IsZero() {
			return data
		}
		return appendNonEmptyBytes(data, number, appendPackedNumbers(nil, field))
	default:
		value := integerToWire(field)
		if value == 0 {
			return data
		}
		data = protowire.AppendTag(data, number, protowire.VarintType)
		return protowire.AppendVarint(data, value)
	}
}

// appendSlice appends a slice: bytes as they are, structs as one field for each, and numbers packed in one field.
func appendSlice(data []byte, number protowire.Number, slice reflect.Value) []byte {
	switch slice.Type().Elem().Kind() {
	case reflect.Uint8:
		return appendNonEmptyBytes(data, number, slice.Bytes())
	case reflect.Struct:
		// Here an empty encoding is written as well: it stands for an element whose fields are all zero.
		for i := range slice.Len() {
			data = protowire.AppendTag(data, number, protowire.BytesType)
			data = protowire.AppendBytes(data, appendFields(nil, slice.Index(i)))
		}
		return data
	default:
		return appendNonEmptyBytes(data, number, appendPackedNumbers(nil, slice))
	}
}

func appendNonEmptyBytes(data []byte, number protowire.Number, body []byte) []byte {
	if len(body) == 0 {
		return data
	}
	data = protowire.AppendTag(data, number, protowire.BytesType)
	return protowire.AppendBytes(data, body)
}

// appendPackedNumbers appends the elements of a slice or array of numbers, or of arrays of numbers, without tags.
// Zeros are not left out here, since an element's place tells which one it is.
func appendPackedNumbers(data []byte, list reflect.Value) []byte {
	for i := range list.Len() {
		switch element := list.Index(i); element.Kind() {
		case reflect.Array:
			data = appendPackedNumbers(data, element)
		case reflect.Float64:
			data = protowire.AppendFixed64(data, math.Float64bits(element.Float()))
		default:
			data = protowire.AppendVarint(data, integerToWire(element))
		}
	}
	return data
}

// integerToWire returns the varint that stands for an integer or a bool. It panics for any other kind.
func integerToWire(value reflect.Value) uint64 {
	switch {
	case value.Kind() == reflect.Bool:
		return protowire.EncodeBool(value.Bool())
	case value.CanInt():
		return protowire.EncodeZigZag(value.Int())
	default:
		return value.Uint()
	}
}
