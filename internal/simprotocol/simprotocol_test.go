package simprotocol

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const settings = "az=0\nbalancers=2\nbenefitBy=work\nbounds.cancel=true\nbounds.retryAfter=true\nbounds.mostPushes=3\n" +
	"bounds.secondCopies=true\ncategories.count=1\ncategories.0.idempotency=pure\ncategories.0.targetLatency=600.0\n" +
	"categories.0.ttl=1200.0\ncategories.0.benefit=3.0\nregistryMode=automatic\nrules.askWithin=10000.0\n" +
	"rules.coldFrom=0.34\nrules.warmWithin=9000.0\nrules.fallMultiple=3.0\nrules.overloadFor=3000.0\nunheardOf=1\n"

func encode(parts ...any) []byte {
	var b bytes.Buffer
	for _, p := range parts {
		switch x := p.(type) {
		case string:
			data, err := hex.DecodeString(strings.ReplaceAll(x, " ", ""))
			if err != nil {
				panic(err)
			}
			b.Write(data)
		case []byte:
			b.Write(x)
		default:
			_ = binary.Write(&b, binary.BigEndian, x)
		}
	}
	return b.Bytes()
}

func frame(now float64, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	return encode(uint32(headerSize+len(body)), uint32(len(records)), now, body)
}

func startRecord(inst uint32) []byte {
	return encode(byte(eventStart), inst, uint64(5), uint32(len(settings)), []byte(settings))
}

func listRecord(number uint16, ports ...uint16) []byte {
	b := encode(byte(eventDefineList), number, uint32(len(ports)))
	for _, p := range ports {
		b = append(b, encode("0a124a07", p, "00 00 0000 02", float32(1), 0.0)...)
	}
	return b
}

func endpointsRecord(inst uint32, mode byte, number uint16) []byte {
	return encode(byte(eventEndpoints), inst, mode, uint32(1), number)
}

func requestRecord(inst uint32, id uint64, class byte) []byte {
	return encode(byte(eventRequest), inst, id, uint16(1), 12.0, 6000.0, uint64(0), class, uint16(0))
}

func attemptEndedRecord(inst uint32, id uint64, outcome, finished byte) []byte {
	return encode(byte(eventAttemptEnded), inst, id, byte(0), "0a124a07 1b58", outcome, 15.0, finished, byte(1), float32(3))
}

// actions decodes a reply and returns its records' codes, instances and, for attempts, ports.
func actions(t *testing.T, reply []byte) (codes []byte, instances []uint32, ports []uint16) {
	require.Equal(t, len(reply), int(binary.BigEndian.Uint32(reply)))
	count, at := binary.BigEndian.Uint32(reply[4:]), 8
	size := map[byte]int{actionPoll: 6, actionFail: 13, actionCancel: 14, actionAttempt: 27, actionReject: 21, actionSetTimer: 21}
	for range count {
		code := reply[at]
		codes, instances = append(codes, code), append(instances, binary.BigEndian.Uint32(reply[at+1:]))
		if code == actionAttempt {
			ports = append(ports, binary.BigEndian.Uint16(reply[at+17:]))
		}
		if code == actionLog || code == actionCrash {
			at += 7 + int(binary.BigEndian.Uint16(reply[at+5:]))
		} else {
			at += size[code]
		}
	}
	require.Equal(t, len(reply), at)
	return codes, instances, ports
}

// withoutTimers returns the codes other than actionSetTimer.
func withoutTimers(codes []byte) (rest []byte) {
	for _, c := range codes {
		if c != actionSetTimer {
			rest = append(rest, c)
		}
	}
	return rest
}

func TestEventSequence(t *testing.T) {
	h := NewHost()
	for _, step := range []struct {
		name    string
		records [][]byte
		want    []byte
		ports   []uint16
	}{
		{"empty batch", nil, nil, nil},
		{"start and list", [][]byte{startRecord(3), listRecord(0, 7000), endpointsRecord(3, 2, 0)}, nil, nil},
		{"a request is sent", [][]byte{requestRecord(3, 1, 0)}, []byte{actionAttempt}, []uint16{7000}},
		{"answered", [][]byte{attemptEndedRecord(3, 1, 10, 1)}, nil, nil},
		{"an attempt's end reported twice", [][]byte{attemptEndedRecord(3, 1, 10, 1)}, nil, nil},
		{"client of an unknown request gone", [][]byte{encode(byte(eventClientGone), uint32(3), uint64(99))}, nil, nil},
		{"stale timer", [][]byte{encode(byte(eventTimer), uint32(3), uint64(7))}, nil, nil},
		{"gossip and a health check", [][]byte{encode(byte(eventGossip), uint32(3), uint16(1), uint16(2), "6869"),
			encode(byte(eventHealthCheck), uint32(3), 2.0, byte(10), "0a124a07 1b58", byte(2), float32(1), float32(2))}, nil, nil},
		{"a list number redefined within a batch", [][]byte{listRecord(4, 7001), endpointsRecord(3, 1, 4), requestRecord(3, 2, 0),
			listRecord(4, 7002), startRecord(9), endpointsRecord(9, 2, 4), requestRecord(9, 3, 0)}, []byte{actionAttempt, actionAttempt}, []uint16{7001, 7002}},
		{"a failed poll", [][]byte{endpointsRecord(3, 3, 15)}, []byte{actionLog}, nil},
		{"stopped and restarted in one batch", [][]byte{encode(byte(eventStop), uint32(3)), startRecord(3), listRecord(0, 7005),
			endpointsRecord(3, 2, 0), attemptEndedRecord(3, 2, 10, 1), requestRecord(3, 8, 0)}, []byte{actionAttempt}, []uint16{7005}},
		{"events for one that is stopped", [][]byte{encode(byte(eventStop), uint32(9)), attemptEndedRecord(9, 3, 10, 1)}, nil, nil},
	} {
		reply, err := h.Batch(1000, uint32(len(step.records)), bytes.Join(step.records, nil))
		require.NoError(t, err, step.name)
		codes, instances, ports := actions(t, reply)
		assert.Equal(t, step.want, withoutTimers(codes), step.name)
		assert.Equal(t, step.ports, ports, step.name)
		if len(step.records) == 0 {
			assert.Empty(t, instances, step.name)
		}
	}
}

// A panic in one instance's decider is reported as the crash of that instance; the others continue.
func TestPanicCrashesOneInstance(t *testing.T) {
	h := NewHost()
	_, err := h.Batch(1000, 2, bytes.Join([][]byte{startRecord(1), startRecord(2)}, nil))
	require.NoError(t, err)
	h.instances[1].decider = nil
	reply, err := h.Batch(1001, 2, bytes.Join([][]byte{requestRecord(1, 1, 0), requestRecord(2, 2, 0)}, nil))
	require.NoError(t, err)
	codes, instances, _ := actions(t, reply)
	assert.Equal(t, []byte{actionCrash, actionReject}, withoutTimers(codes))
	assert.Equal(t, []uint32{1, 2}, instances[:2])
}

func TestMalformedInput(t *testing.T) {
	validFrame := frame(1000, startRecord(1), listRecord(0, 7000), endpointsRecord(1, 2, 0))
	afterFrame := func(records ...[]byte) []byte { return append(bytes.Clone(validFrame), frame(1001, records...)...) }
	withSetting := func(from, to string) []byte {
		s := []byte(strings.Replace(settings, from, to, 1))
		return frame(1000, encode(byte(eventStart), uint32(1), uint64(5), uint32(len(s)), s))
	}
	for name, c := range map[string]struct {
		input []byte
		want  string
	}{
		"ends between frames":     {validFrame, ""},
		"ends in a header":        {validFrame[:7], "header ends at byte 7"},
		"ends in a frame":         {validFrame[:30], "ends at byte 30"},
		"shorter than a header":   {encode(uint32(3), uint32(0), 1.0), "shorter than its header"},
		"huge length, no bytes":   {encode(uint32(math.MaxUint32), uint32(1), 1.0), "ends at byte 16"},
		"clock not finite":        {frame(math.NaN()), "clock at byte 8"},
		"too few records counted": {encode(uint32(headerSize+5), uint32(0), 1.0, byte(eventStop), uint32(1)), "trailing data at byte 16"},
		"too many":                {encode(uint32(headerSize), uint32(2), 1.0), "record 0 at byte 16: need 1 bytes"},
		"unknown code":            {afterFrame(encode(byte(77), uint32(1))), "record 0 at byte 16: unknown code 77"},
		"unset list":              {afterFrame(endpointsRecord(1, 1, 5)), "list 5 is not defined"},
		"list number too high":    {afterFrame(listRecord(16, 1)), "list number 16"},
		"huge list":               {afterFrame(encode(byte(eventDefineList), uint16(0), uint32(math.MaxUint32))), "need 98784247785 bytes"},
		"unknown list mode":       {afterFrame(endpointsRecord(1, 4, 0)), "unknown endpoint list mode 4"},
		"unknown outcome":         {afterFrame(attemptEndedRecord(1, 1, 11, 0)), "unknown outcome 11"},
		"time not finite": {afterFrame(encode(byte(eventRequest), uint32(1), uint64(1), uint16(1), 12.0, math.Inf(1), uint64(0), uint16(0),
			byte(0))), "time at byte 39 is not finite"},
		"unknown class":   {afterFrame(requestRecord(1, 1, 9)), "class 9 is not below the number of classes 1"},
		"setting missing": {withSetting("balancers=2\n", ""), "setting balancers is missing"},
		"not a number":    {withSetting("balancers=2", "balancers=two"), `setting balancers is no number: "two"`},
		"not a boolean":   {withSetting("cancel=true", "cancel=yes"), "bounds.cancel is neither"},
		"unknown value":   {withSetting("=pure", "=pristine"), "idempotency has an unknown value"},
		"huge count":      {withSetting("categories.count=1", "categories.count=1e18"), "categories.count can't be"},
	} {
		var out bytes.Buffer
		err := NewHost().Serve(bytes.NewReader(c.input), &out)
		if c.want == "" {
			assert.NoError(t, err, name)
			continue
		}
		require.Error(t, err, name)
		assert.Contains(t, err.Error(), c.want, name)
		assert.NotContains(t, err.Error(), "\n", name)
	}
}

func FuzzBatch(f *testing.F) {
	f.Add(bytes.Join([][]byte{startRecord(1), listRecord(0, 7000), endpointsRecord(1, 2, 0), requestRecord(1, 1, 0), attemptEndedRecord(1, 1, 20, 0)}, nil), uint32(5))
	f.Fuzz(func(t *testing.T, body []byte, count uint32) {
		reply, err := NewHost().Batch(1000, count, body)
		if err == nil {
			codes, _, _ := actions(t, reply)
			assert.NotContains(t, codes, byte(actionCrash))
		}
	})
}
