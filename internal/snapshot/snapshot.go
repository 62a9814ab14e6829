// Package snapshot is the one form in which a module's state is written down: for captures, and for whoever passes it from
// one process to another. It is the protobuf wire format: a version, and the fields of balance.Snapshot by their places in
// it, so that fields are only ever added, at the end of their struct. Zeros are left out; fields that are not known are
// skipped; a version that is not known is refused.
package snapshot

import (
	"errors"
	"fmt"
	"math"
	"reflect"

	"google.golang.org/protobuf/encoding/protowire"

	"pearknot/balancer"
)

// Version is that of the form.
const Version = 2

// ErrVersion is a snapshot that another build has written: whoever has one starts fresh and says so.
var ErrVersion = errors.New("snapshot of another version")

var errOdd = errors.New("odd snapshot")

// Encode writes a snapshot.
func Encode(s *balancer.Snapshot) []byte {
	b := protowire.AppendVarint(protowire.AppendTag(nil, 1, protowire.VarintType), Version)
	return protowire.AppendBytes(protowire.AppendTag(b, 2, protowire.BytesType), appendStruct(nil, reflect.ValueOf(s).Elem()))
}

// Decode reads one. What it allocates is in proportion to the data.
func Decode(data []byte) (*balancer.Snapshot, error) {
	s, version := &balancer.Snapshot{}, uint64(0)
	err := Walk(data, errOdd, func(n protowire.Number, t protowire.Type, x uint64, body []byte) error {
		switch {
		case n == 1 && t == protowire.VarintType:
			if version = x; version != Version {
				return fmt.Errorf("%w: %d, this build reads %d", ErrVersion, version, Version)
			}
		case n == 2 && t == protowire.BytesType && version == Version:
			return decodeStruct(body, reflect.ValueOf(s).Elem())
		}
		return nil
	})
	if err == nil && version == 0 {
		err = errOdd
	}
	if err != nil {
		return nil, err
	}
	return s, nil
}

// Append writes any plain struct in the same form, without a version. Strings and bytes may be in it.
func Append(b []byte, v any) []byte { return appendStruct(b, reflect.ValueOf(v).Elem()) }

// Read reads a struct that Append wrote; fields of a later build are skipped.
func Read(data []byte, v any) error { return decodeStruct(data, reflect.ValueOf(v).Elem()) }

// Walk goes through a message's fields; what is of no known form is the error odd, what is of no known number is told all
// the same.
func Walk(b []byte, odd error, f func(n protowire.Number, t protowire.Type, x uint64, body []byte) error) error {
	for len(b) > 0 {
		n, t, size := protowire.ConsumeTag(b)
		if size < 0 {
			return odd
		}
		b = b[size:]
		var x uint64
		var body []byte
		switch t {
		case protowire.VarintType:
			x, size = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			x, size = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			body, size = protowire.ConsumeBytes(b)
		default:
			size = protowire.ConsumeFieldValue(n, t, b)
		}
		if size < 0 {
			return odd
		}
		b = b[size:]
		if err := f(n, t, x, body); err != nil {
			return err
		}
	}
	return nil
}

func appendStruct(b []byte, v reflect.Value) []byte {
	for k := range v.NumField() {
		f, n := v.Field(k), protowire.Number(k+1)
		switch f.Kind() {
		case reflect.Float64:
			if bits := math.Float64bits(f.Float()); bits != 0 {
				b = protowire.AppendFixed64(protowire.AppendTag(b, n, protowire.Fixed64Type), bits)
			}
		case reflect.Struct:
			if body := appendStruct(nil, f); len(body) > 0 {
				b = protowire.AppendBytes(protowire.AppendTag(b, n, protowire.BytesType), body)
			}
		case reflect.String:
			if f.Len() > 0 {
				b = protowire.AppendString(protowire.AppendTag(b, n, protowire.BytesType), f.String())
			}
		case reflect.Slice, reflect.Array:
			if f.Type().Elem().Kind() == reflect.Uint8 && f.Kind() == reflect.Slice {
				if f.Len() > 0 {
					b = protowire.AppendBytes(protowire.AppendTag(b, n, protowire.BytesType), f.Bytes())
				}
				continue
			}
			if f.Len() == 0 || f.Kind() == reflect.Array && f.IsZero() {
				continue
			}
			if f.Type().Elem().Kind() == reflect.Struct {
				for i := range f.Len() {
					b = protowire.AppendBytes(protowire.AppendTag(b, n, protowire.BytesType), appendStruct(nil, f.Index(i)))
				}
				continue
			}
			b = protowire.AppendBytes(protowire.AppendTag(b, n, protowire.BytesType), appendNumbers(nil, f))
		default:
			if x := integer(f); x != 0 {
				b = protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), x)
			}
		}
	}
	return b
}

// appendNumbers packs the numbers of a list, or of a list of pairs and the like.
func appendNumbers(b []byte, v reflect.Value) []byte {
	for i := range v.Len() {
		switch e := v.Index(i); e.Kind() {
		case reflect.Array:
			b = appendNumbers(b, e)
		case reflect.Float64:
			b = protowire.AppendFixed64(b, math.Float64bits(e.Float()))
		default:
			b = protowire.AppendVarint(b, integer(e))
		}
	}
	return b
}

// integer is a whole number or a flag as the wire has it.
func integer(v reflect.Value) uint64 {
	switch {
	case v.Kind() == reflect.Bool:
		return protowire.EncodeBool(v.Bool())
	case v.CanInt():
		return protowire.EncodeZigZag(v.Int())
	}
	return v.Uint()
}

func setInteger(v reflect.Value, x uint64) error {
	switch {
	case v.Kind() == reflect.Bool:
		v.SetBool(protowire.DecodeBool(x))
	case v.CanInt():
		if v.OverflowInt(protowire.DecodeZigZag(x)) {
			return errOdd
		}
		v.SetInt(protowire.DecodeZigZag(x))
	case v.OverflowUint(x):
		return errOdd
	default:
		v.SetUint(x)
	}
	return nil
}

func decodeStruct(data []byte, v reflect.Value) error {
	return Walk(data, errOdd, func(n protowire.Number, t protowire.Type, x uint64, body []byte) error {
		if int(n) > v.NumField() {
			return nil // of a later build
		}
		f := v.Field(int(n) - 1)
		want := protowire.VarintType
		switch f.Kind() {
		case reflect.Float64:
			want = protowire.Fixed64Type
		case reflect.Struct, reflect.Slice, reflect.Array, reflect.String:
			want = protowire.BytesType
		}
		if t != want {
			return errOdd
		}
		switch f.Kind() {
		case reflect.Float64:
			f.SetFloat(math.Float64frombits(x))
		case reflect.Struct:
			return decodeStruct(body, f)
		case reflect.Array:
			rest, err := decodeNumber(body, f)
			if err == nil && len(rest) > 0 {
				err = errOdd
			}
			return err
		case reflect.String:
			f.SetString(string(body))
		case reflect.Slice:
			if f.Type().Elem().Kind() == reflect.Uint8 {
				f.SetBytes(append([]byte(nil), body...))
				return nil
			}
			if f.Type().Elem().Kind() == reflect.Struct {
				e := reflect.New(f.Type().Elem()).Elem()
				if err := decodeStruct(body, e); err != nil {
					return err
				}
				f.Set(reflect.Append(f, e))
				return nil
			}
			for len(body) > 0 {
				e := reflect.New(f.Type().Elem()).Elem()
				var err error
				if body, err = decodeNumber(body, e); err != nil {
					return err
				}
				f.Set(reflect.Append(f, e))
			}
		default:
			return setInteger(f, x)
		}
		return nil
	})
}

// decodeNumber takes one number, or one pair and the like, off packed ones.
func decodeNumber(b []byte, v reflect.Value) (rest []byte, err error) {
	switch v.Kind() {
	case reflect.Array:
		for i := range v.Len() {
			if b, err = decodeNumber(b, v.Index(i)); err != nil {
				return nil, err
			}
		}
		return b, nil
	case reflect.Float64:
		x, size := protowire.ConsumeFixed64(b)
		if size < 0 {
			return nil, errOdd
		}
		v.SetFloat(math.Float64frombits(x))
		return b[size:], nil
	}
	x, size := protowire.ConsumeVarint(b)
	if size < 0 {
		return nil, errOdd
	}
	return b[size:], setInteger(v, x)
}
