package scale

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/internal/lab/faultproxy"
)

// What faults make of the links: by whose they are, where they begin and end, and which way things go.
func TestLinks(t *testing.T) {
	e, err := Decode("x.toml", []byte(sound)) // three regions of two zones each, six members, one a zone
	require.NoError(t, err)
	within := &way{kind: hollowKind, from: 3, to: 0, caller: -1, member: 0}   // r1 (z4) to m1 in r1 (z1)
	outward := &way{kind: memberKind, from: 0, to: 1, caller: 0, member: 1}   // m1 in r1 to m2 in r2
	inward := &way{kind: realKind, from: 1, to: 0, caller: -1, member: 0}     // r2 to m1 in r1
	elsewhere := &way{kind: memberKind, from: 1, to: 2, caller: 1, member: 2} // m2 in r2 to m3 in r3
	toDrop := faultproxy.Fault{Stalled: true, Direction: faultproxy.ToTarget}
	fromDrop := faultproxy.Fault{Stalled: true, Direction: faultproxy.FromTarget}
	drop := faultproxy.Fault{Stalled: true}
	slow := faultproxy.Fault{BytesPerSecond: 9, Delay: 7 * time.Millisecond}
	none := faultproxy.Fault{}
	for name, c := range map[string]struct {
		on                                 []Fault
		within, outward, inward, elsewhere faultproxy.Fault
	}{
		"nothing":        {nil, none, none, none, none},
		"region cut":     {[]Fault{{Kind: Cut, Region: "r1"}}, none, drop, drop, none},
		"zone cut":       {[]Fault{{Kind: Cut, Zone: "z1"}}, drop, drop, drop, none},
		"nothing in":     {[]Fault{{Kind: CutIn, Region: "r1"}}, none, fromDrop, toDrop, none},
		"nothing out":    {[]Fault{{Kind: CutOut, Region: "r1"}}, none, toDrop, fromDrop, none},
		"neither":        {[]Fault{{Kind: CutOut, Region: "r1"}, {Kind: CutIn, Region: "r1"}}, none, drop, drop, none},
		"member deaf":    {[]Fault{{Kind: Deaf, Member: "m1"}}, toDrop, fromDrop, toDrop, none},
		"another deaf":   {[]Fault{{Kind: Deaf, Member: "m2"}}, none, toDrop, none, fromDrop},
		"slow":           {[]Fault{{Kind: Slow, Region: "r1", Rate: 9, Delay: 7}}, slow, slow, none, none},
		"slow, of all":   {[]Fault{{Kind: Slow, Region: "r2", Rate: 9, Delay: 7}}, none, slow, slow, slow},
		"nodes lose it":  {[]Fault{{Kind: Lose, Region: "r1"}}, faultproxy.Fault{RefuseConnections: true}, none, none, none},
		"member's alone": {[]Fault{{Kind: Kill, Member: "m1"}, {Kind: Freeze, Member: "m2"}}, none, none, none, none},
	} {
		assert.Equal(t, c.within, within.fault(e, c.on), name)
		assert.Equal(t, c.outward, outward.fault(e, c.on), name)
		assert.Equal(t, c.inward, inward.fault(e, c.on), name)
		assert.Equal(t, c.elsewhere, elsewhere.fault(e, c.on), name)
	}
}
