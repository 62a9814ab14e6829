package snapshot

import (
	"math"
	"reflect"

	"google.golang.org/protobuf/encoding/protowire"
)

// WalkFields calls visit for each field of an encoded message, in the order of data, and stops at visit's first error,
// which it returns. For data that is not in the protobuf wire format it returns the error malformed.
//
// visit gets the field's number and wire type. value is set for varint and fixed64 fields, body for bytes fields; body
// is a part of data and must be copied where it is kept. Fields of the other wire types are passed without contents, so
// that visit can reject them.
func WalkFields(
	data []byte,
	malformed error,
	visit func(number protowire.Number, wireType protowire.Type, value uint64, body []byte) error,
) error {
	for len(data) > 0 {
		number, wireType, size := protowire.ConsumeTag(data)
		if size < 0 {
			return malformed
		}
		data = data[size:]
		var value uint64
		var body []byte
		switch wireType {
		case protowire.VarintType:
			value, size = protowire.ConsumeVarint(data)
		case protowire.Fixed64Type:
			value, size = protowire.ConsumeFixed64(data)
		case protowire.BytesType:
			body, size = protowire.ConsumeBytes(data)
		default:
			size = protowire.ConsumeFieldValue(number, wireType, data)
		}
		if size < 0 {
			return malformed
		}
		data = data[size:]
		if err := visit(number, wireType, value, body); err != nil {
			return err
		}
	}
	return nil
}

// readFields reads an encoded struct into structValue.
func readFields(data []byte, structValue reflect.Value) error {
	readField := func(number protowire.Number, wireType protowire.Type, value uint64, body []byte) error {
		if int(number) > structValue.NumField() {
			return nil // a later build has added this field
		}
		field := structValue.Field(int(number) - 1)
		if wireType != wireTypeOf(field.Kind()) {
			return errMalformed
		}
		switch wireType {
		case protowire.Fixed64Type:
			field.SetFloat(math.Float64frombits(value))
			return nil
		case protowire.BytesType:
			return readBytesField(body, field)
		default:
			return setInteger(field, value)
		}
	}
	return WalkFields(data, errMalformed, readField)
}

// wireTypeOf returns the wire type that a field of this kind must have.
func wireTypeOf(kind reflect.Kind) protowire.Type {
	switch kind {
	case reflect.Float64:
		return protowire.Fixed64Type
	case reflect.Struct, reflect.Slice, reflect.Array, reflect.String:
		return protowire.BytesType
	default:
		return protowire.VarintType
	}
}

// readBytesField reads the body of a field of wire type bytes: a struct, an array, a string, or a slice.
func readBytesField(body []byte, field reflect.Value) error {
	switch field.Kind() {
	case reflect.Struct:
		return readFields(body, field)
	case reflect.String:
		field.SetString(string(body))
		return nil
	case reflect.Array:
		rest, err := readPackedNumber(body, field)
		if err != nil {
			return err
		}
		if len(rest) > 0 { // an array has a fixed length
			return errMalformed
		}
		return nil
	default:
		return readSliceField(body, field)
	}
}

// readSliceField reads a slice of bytes or of numbers, or one more element of a slice of structs.
func readSliceField(body []byte, slice reflect.Value) error {
	elementType := slice.Type().Elem()
	switch elementType.Kind() {
	case reflect.Uint8:
		slice.SetBytes(append([]byte(nil), body...))
		return nil
	case reflect.Struct:
		element := reflect.New(elementType).Elem()
		if err := readFields(body, element); err != nil {
			return err
		}
		slice.Set(reflect.Append(slice, element))
		return nil
	}
	for len(body) > 0 {
		element := reflect.New(elementType).Elem()
		rest, err := readPackedNumber(body, element)
		if err != nil {
			return err
		}
		slice.Set(reflect.Append(slice, element))
		body = rest
	}
	return nil
}

// readPackedNumber reads a number, or all numbers of an array, from the start of packed data, and returns what follows.
func readPackedNumber(data []byte, number reflect.Value) (rest []byte, err error) {
	switch number.Kind() {
	case reflect.Array:
		for i := range number.Len() {
			if data, err = readPackedNumber(data, number.Index(i)); err != nil {
				return nil, err
			}
		}
		return data, nil
	case reflect.Float64:
		bits, size := protowire.ConsumeFixed64(data)
		if size < 0 {
			return nil, errMalformed
		}
		number.SetFloat(math.Float64frombits(bits))
		return data[size:], nil
	default:
		value, size := protowire.ConsumeVarint(data)
		if size < 0 {
			return nil, errMalformed
		}
		return data[size:], setInteger(number, value)
	}
}

// setInteger sets an integer or a bool to what a varint stands for. It returns errMalformed for a value that the type
// can't hold.
func setInteger(field reflect.Value, value uint64) error {
	switch {
	case field.Kind() == reflect.Bool:
		field.SetBool(protowire.DecodeBool(value))
	case field.CanInt():
		if field.OverflowInt(protowire.DecodeZigZag(value)) {
			return errMalformed
		}
		field.SetInt(protowire.DecodeZigZag(value))
	case field.OverflowUint(value):
		return errMalformed
	default:
		field.SetUint(value)
	}
	return nil
}
