// Package snapshot encodes a balancer's state, for captures and for the successor process of a hot restart. Its
// struct encoding (AppendStruct, ReadStruct) also carries the messages and records that processes exchange or store.
//
// # Encoding
//
// The encoding is the protobuf wire format without a schema file: the field number of a struct's field is its position
// in the Go struct, counted from 1. The type of the Go field determines the wire type:
//
//	Go type                               wire type  contents
//	float64                               fixed64    its IEEE 754 bits
//	bool, unsigned integers               varint     the value
//	signed integers                       varint     zigzag
//	string, []byte                        bytes      as they are
//	struct                                bytes      its own encoding
//	slice of structs                      bytes      one field for each element
//	slice or array of numbers             bytes      packed: fixed64 or varint values, one after the other
//	slice of arrays of numbers            bytes      packed in the same way; the arrays' length is fixed
//
// A field that holds its zero value is left out. A float64 of minus zero is not left out: values return bit for bit.
// A reader skips field numbers that it does not know.
//
// # Changing an encoded struct
//
// Processes of different builds exchange these structs, and stored ones outlive an upgrade. Therefore:
//
//   - A new field may be added at the end of its struct. Earlier builds skip it, and a value of an earlier build has
//     it as zero, which must therefore mean what the earlier build did.
//   - A field may be renamed: names are not encoded.
//   - A field must not be moved, removed, given a type of another row of the table, or added before another one. A
//     field that has lost its use stays as a placeholder.
//   - A change that can't be made in this way needs a new Version, or a new version of the message concerned. Readers
//     then reject the earlier form.
//
// Golden tests in the packages that own such structs compare their encodings with files of earlier builds.
package snapshot

import (
	"errors"
	"fmt"
	"reflect"

	"google.golang.org/protobuf/encoding/protowire"

	"pearknot/balancer"
)

// Version is the version of the encoding of balancer.Snapshot.
const Version = 2

// The fields of the message in which Encode wraps a balancer.Snapshot.
const (
	versionField  protowire.Number = 1 // varint; comes first
	balancerField protowire.Number = 2 // the encoded balancer.Snapshot
)

// ErrVersion is returned for a snapshot of another version than Version. The caller starts without the state and logs
// that it does.
var ErrVersion = errors.New("snapshot of another version")

// errMalformed is returned for data that is not in the encoding, or does not fit the struct that it is read into.
var errMalformed = errors.New("malformed encoding")

// Encode returns the encoding of state, with its version.
func Encode(state *balancer.Snapshot) []byte {
	data := protowire.AppendTag(nil, versionField, protowire.VarintType)
	data = protowire.AppendVarint(data, Version)
	data = protowire.AppendTag(data, balancerField, protowire.BytesType)
	return protowire.AppendBytes(data, AppendStruct(nil, state))
}

// Decode reads what Encode returned. It allocates in proportion to the size of data, whatever data contains. The error
// is ErrVersion for another version, and another error for malformed data.
//
// Decode checks the encoding alone. Whether the values make sense together is checked by balancer.Restore.
func Decode(data []byte) (*balancer.Snapshot, error) {
	state := &balancer.Snapshot{}
	var version uint64 // 0 until its field has been read
	readField := func(number protowire.Number, wireType protowire.Type, value uint64, body []byte) error {
		switch {
		case number == versionField && wireType == protowire.VarintType:
			version = value
			if version != Version {
				return fmt.Errorf("%w: %d, this build reads %d", ErrVersion, version, Version)
			}
		case number == balancerField && wireType == protowire.BytesType && version == Version:
			return ReadStruct(body, state)
		}
		return nil
	}
	if err := WalkFields(data, errMalformed, readField); err != nil {
		return nil, err
	}
	if version == 0 {
		return nil, errMalformed
	}
	return state, nil
}

// AppendStruct appends the encoding of the struct that pointer points to, without a version, and returns the extended
// slice. It panics if the struct has a field of a type that the encoding does not have.
func AppendStruct(data []byte, pointer any) []byte {
	return appendFields(data, reflect.ValueOf(pointer).Elem())
}

// ReadStruct reads the encoding of a struct into the struct that pointer points to. Fields that are not in data keep
// the values that they have, so the struct is usually a zero one. After an error it may be partly filled and must not
// be used.
func ReadStruct(data []byte, pointer any) error {
	return readFields(data, reflect.ValueOf(pointer).Elem())
}
