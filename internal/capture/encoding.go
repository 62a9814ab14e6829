package capture

import (
	"errors"
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"pearknot/balancer"
	"pearknot/internal/snapshot"
)

// Field numbers of a Record in the wire format: never reused.
const (
	fieldKind = iota + 1
	fieldNow
	fieldRequest
	fieldID
	fieldAttempt
	fieldBackend
	fieldDecision
	fieldOutcome
	fieldValue
	fieldFlags
	fieldClass
	fieldTenant
	fieldKey
	fieldCostHint
	fieldDeadline
	fieldCount
	fieldEndpoint
	fieldData
	fieldState
	fieldRequests
	fieldBackends
	fieldLoad
)

// Field numbers of an Endpoint in the wire format: never reused.
const (
	endpointBackend = iota + 1
	endpointID
	endpointState
	endpointZone
	endpointCell
	endpointKind
	endpointWeight
	endpointStarted
	endpointCordoned
)

// Append appends the encoded record. Zero values are left out.
func (r *Record) Append(encoded []byte) []byte {
	number := func(field protowire.Number, value uint64) { encoded = appendNumber(encoded, field, value) }
	float := func(field protowire.Number, value float64) { encoded = appendFloat(encoded, field, value) }
	text := func(field protowire.Number, value []byte) { encoded = appendBytes(encoded, field, value) }
	number(fieldKind, uint64(r.Kind))
	float(fieldNow, r.Now)
	number(fieldRequest, r.Request)
	number(fieldID, r.ID)
	number(fieldAttempt, uint64(r.Attempt))
	number(fieldBackend, r.Backend)
	number(fieldDecision, uint64(r.Decision))
	number(fieldOutcome, uint64(r.Outcome))
	float(fieldValue, r.Value)
	number(fieldFlags, r.Flags)
	number(fieldClass, uint64(r.Class))
	number(fieldTenant, uint64(r.Tenant))
	number(fieldKey, r.Key)
	float(fieldCostHint, r.CostHint)
	float(fieldDeadline, r.Deadline)
	number(fieldCount, r.Count)
	for _, endpoint := range r.Endpoints {
		encoded = protowire.AppendTag(encoded, fieldEndpoint, protowire.BytesType)
		encoded = protowire.AppendBytes(encoded, endpoint.append(nil)) // an empty encoding too: it counts as an endpoint
	}
	text(fieldData, r.Data)
	text(fieldState, r.State)
	text(fieldRequests, packNumbers(r.Requests))
	text(fieldBackends, packNumbers(r.Backends))
	text(fieldLoad, r.encodeLoad())
	return encoded
}

// appendNumber appends a number as a varint, unless it is 0.
func appendNumber(encoded []byte, field protowire.Number, value uint64) []byte {
	if value == 0 {
		return encoded
	}
	return protowire.AppendVarint(protowire.AppendTag(encoded, field, protowire.VarintType), value)
}

// appendFloat appends the bits of a number, unless they are 0. A negative zero is kept.
func appendFloat(encoded []byte, field protowire.Number, value float64) []byte {
	bits := math.Float64bits(value)
	if bits == 0 {
		return encoded
	}
	return protowire.AppendFixed64(protowire.AppendTag(encoded, field, protowire.Fixed64Type), bits)
}

// appendBytes appends bytes, unless there are none.
func appendBytes(encoded []byte, field protowire.Number, value []byte) []byte {
	if len(value) == 0 {
		return encoded
	}
	return protowire.AppendBytes(protowire.AppendTag(encoded, field, protowire.BytesType), value)
}

// encodeLoad encodes the values of a load report. A value that was not reported is below 0, unlike an idle
// backend's 0.
func (r *Record) encodeLoad() (encoded []byte) {
	if r.Kind == LoadReported {
		for _, value := range []float64{r.Load.ServiceTime, r.Load.InFlight, r.Load.Queued, r.Load.Throughput} {
			encoded = protowire.AppendFixed64(encoded, math.Float64bits(value))
		}
	}
	return encoded
}

// decodeLoad decodes the values of a load report.
func decodeLoad(encoded []byte) (load balancer.LoadReport, err error) {
	load = balancer.EmptyLoadReport()
	for _, value := range []*float64{&load.ServiceTime, &load.InFlight, &load.Queued, &load.Throughput} {
		bits, size := protowire.ConsumeFixed64(encoded)
		if len(encoded) == 0 && value == &load.Throughput { // earlier builds did not store it
			break
		}
		if size < 0 {
			return load, errInvalidRecord
		}
		*value, encoded = math.Float64frombits(bits), encoded[size:]
	}
	return load, nil
}

// packNumbers encodes numbers as varints.
func packNumbers(numbers []uint64) (packed []byte) {
	for _, number := range numbers {
		packed = protowire.AppendVarint(packed, number)
	}
	return packed
}

// unpackNumbers decodes what packNumbers has encoded.
func unpackNumbers(packed []byte) (numbers []uint64, err error) {
	for len(packed) > 0 {
		number, size := protowire.ConsumeVarint(packed)
		if size < 0 {
			return nil, errInvalidRecord
		}
		numbers, packed = append(numbers, number), packed[size:]
	}
	return numbers, nil
}

// append appends the encoded endpoint. Zero values are left out.
func (e Endpoint) append(encoded []byte) []byte {
	encoded = appendNumber(encoded, endpointBackend, e.Backend)
	encoded = appendNumber(encoded, endpointID, e.ID)
	encoded = appendNumber(encoded, endpointState, uint64(e.State))
	encoded = appendNumber(encoded, endpointZone, uint64(e.Zone))
	encoded = appendNumber(encoded, endpointCell, uint64(e.Cell))
	encoded = appendNumber(encoded, endpointKind, uint64(e.Kind))
	encoded = appendFloat(encoded, endpointWeight, e.Weight)
	encoded = appendFloat(encoded, endpointStarted, e.Started)
	if e.Cordoned {
		encoded = appendNumber(encoded, endpointCordoned, 1)
	}
	return encoded
}

// errInvalidRecord is returned for bytes that do not encode a record although their checksum is right.
var errInvalidRecord = errors.New("invalid record")

// walkFields calls handle for each field of an encoded message: value is set for a number, data for bytes.
func walkFields(encoded []byte, handle func(field protowire.Number, value uint64, data []byte) error) error {
	return snapshot.WalkFields(encoded, errInvalidRecord,
		func(field protowire.Number, _ protowire.Type, value uint64, data []byte) error {
			return handle(field, value, data)
		})
}

// maxIndex bounds decoded values that are used as an index, so that a damaged record allocates little.
const maxIndex = 1 << 20

// Decode decodes a record.
func Decode(encoded []byte) (Record, error) {
	var record Record
	hasLoad := false
	err := walkFields(encoded, func(field protowire.Number, value uint64, data []byte) error {
		hasLoad = hasLoad || field == fieldLoad
		if handled, err := record.setNumber(field, value); handled {
			return err
		}
		return record.setBytes(field, data)
	})
	if record.Kind == LoadReported && !hasLoad { // earlier builds stored the service time alone, in Value
		record.Load = balancer.EmptyLoadReport()
		record.Load.ServiceTime = record.Value
	}
	if err == nil && (record.Kind == 0 || math.IsNaN(record.Now)) {
		err = errInvalidRecord
	}
	return record, err
}

// setNumber sets a field that is a number, and reports whether the field is one.
func (r *Record) setNumber(field protowire.Number, value uint64) (handled bool, err error) {
	switch field {
	case fieldKind:
		r.Kind = Kind(min(value, math.MaxUint8))
	case fieldNow:
		r.Now = math.Float64frombits(value)
	case fieldRequest:
		r.Request = value
	case fieldID:
		r.ID = value
	case fieldAttempt:
		r.Attempt, err = decodeIndex(value)
	case fieldBackend:
		r.Backend = value
	case fieldDecision:
		r.Decision = balancer.DecisionKind(min(value, math.MaxUint8))
	case fieldOutcome:
		r.Outcome = balancer.Outcome(min(value, math.MaxUint8))
	case fieldValue:
		r.Value = math.Float64frombits(value)
	case fieldFlags:
		r.Flags = value
	case fieldClass:
		r.Class, err = decodeIndex(value)
	case fieldTenant:
		r.Tenant, err = decodeIndex(value)
	case fieldKey:
		r.Key = value
	case fieldCostHint:
		r.CostHint = math.Float64frombits(value)
	case fieldDeadline:
		r.Deadline = math.Float64frombits(value)
	case fieldCount:
		r.Count = value
	default:
		return false, nil
	}
	return true, err
}

// setBytes sets a field that is encoded as bytes. A field of a later build is skipped.
func (r *Record) setBytes(field protowire.Number, data []byte) (err error) {
	switch field {
	case fieldEndpoint:
		endpoint, err := decodeEndpoint(data)
		if err != nil {
			return err
		}
		r.Endpoints = append(r.Endpoints, endpoint)
	case fieldLoad:
		r.Load, err = decodeLoad(data)
	case fieldData:
		r.Data = append([]byte{}, data...) // the reader reuses its buffer
	case fieldState:
		r.State = append([]byte{}, data...)
	case fieldRequests:
		r.Requests, err = unpackNumbers(data)
	case fieldBackends:
		r.Backends, err = unpackNumbers(data)
	}
	return err
}

// decodeIndex returns a number that is used as an index.
func decodeIndex(value uint64) (int, error) {
	if value > maxIndex {
		return 0, errInvalidRecord
	}
	return int(value), nil
}

// decodeEndpoint decodes an Endpoint, and rejects values that are out of range.
func decodeEndpoint(encoded []byte) (Endpoint, error) {
	var endpoint Endpoint
	err := walkFields(encoded, func(field protowire.Number, value uint64, _ []byte) error {
		if field >= endpointState && field <= endpointKind && value > maxIndex {
			return errInvalidRecord
		}
		switch field {
		case endpointBackend:
			endpoint.Backend = value
		case endpointID:
			endpoint.ID = value
		case endpointState:
			if value > uint64(balancer.BackendReady) {
				return errInvalidRecord
			}
			endpoint.State = balancer.BackendState(value)
		case endpointZone:
			endpoint.Zone = int(value)
		case endpointCell:
			endpoint.Cell = int(value)
		case endpointKind:
			endpoint.Kind = int(value)
		case endpointWeight:
			endpoint.Weight = math.Float64frombits(value)
		case endpointStarted:
			endpoint.Started = math.Float64frombits(value)
		case endpointCordoned:
			endpoint.Cordoned = value != 0
		}
		return nil
	})
	return endpoint, err
}
