package scale

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/internal/lab/faultproxy"
)

// The effect of active faults on a link depends on the kind of its caller, the zones of both ends and the direction.
func TestProxyFaults(t *testing.T) {
	e, err := Decode("x.toml", []byte(validExperiment)) // three regions of two zones each, six members, one a zone
	require.NoError(t, err)
	within := &link{callerKind: KindHollow, callerZone: 3, toZone: 0, callerMember: noMember, member: 0} // r1 (z4) to m1 in r1 (z1)
	outbound := &link{callerKind: KindMember, callerZone: 0, toZone: 1, callerMember: 0, member: 1}      // m1 in r1 to m2 in r2
	inbound := &link{callerKind: KindReal, callerZone: 1, toZone: 0, callerMember: noMember, member: 0}  // r2 to m1 in r1
	elsewhere := &link{callerKind: KindMember, callerZone: 1, toZone: 2, callerMember: 1, member: 2}     // m2 in r2 to m3 in r3
	var none faultproxy.Fault
	toTarget := faultproxy.Fault{Stalled: true, Direction: faultproxy.ToTarget}
	fromTarget := faultproxy.Fault{Stalled: true, Direction: faultproxy.FromTarget}
	stalled := faultproxy.Fault{Stalled: true}
	slow := faultproxy.Fault{BytesPerSecond: 9, Delay: 7 * time.Millisecond}
	refuses := faultproxy.Fault{RefuseConnections: true}
	for name, test := range map[string]struct {
		active                               []Fault
		within, outbound, inbound, elsewhere faultproxy.Fault
	}{
		"no fault": {
			nil,
			none, none, none, none,
		},
		"a region cut off": {
			[]Fault{{Kind: FaultCut, Region: "r1"}},
			none, stalled, stalled, none,
		},
		"a zone cut off": {
			[]Fault{{Kind: FaultCut, Zone: "z1"}},
			stalled, stalled, stalled, none,
		},
		"nothing into a region": {
			[]Fault{{Kind: FaultCutInbound, Region: "r1"}},
			none, fromTarget, toTarget, none,
		},
		"nothing out of a region": {
			[]Fault{{Kind: FaultCutOutbound, Region: "r1"}},
			none, toTarget, fromTarget, none,
		},
		"nothing into or out of a region": {
			[]Fault{{Kind: FaultCutOutbound, Region: "r1"}, {Kind: FaultCutInbound, Region: "r1"}},
			none, stalled, stalled, none,
		},
		"a deaf member": {
			[]Fault{{Kind: FaultDeaf, Member: "m1"}},
			toTarget, fromTarget, toTarget, none,
		},
		"another deaf member": {
			[]Fault{{Kind: FaultDeaf, Member: "m2"}},
			none, toTarget, none, fromTarget,
		},
		"a slow region": {
			[]Fault{{Kind: FaultSlow, Region: "r1", BytesPerSecond: 9, DelayMs: 7}},
			slow, slow, none, none,
		},
		"another slow region, whose member and nodes call elsewhere": {
			[]Fault{{Kind: FaultSlow, Region: "r2", BytesPerSecond: 9, DelayMs: 7}},
			none, slow, slow, slow,
		},
		"a region's nodes lose their members": {
			[]Fault{{Kind: FaultLoseMembers, Region: "r1"}},
			refuses, none, none, none,
		},
		"faults of processes alone": {
			[]Fault{{Kind: FaultKill, Member: "m1"}, {Kind: FaultFreeze, Member: "m2"}},
			none, none, none, none,
		},
	} {
		assert.Equal(t, test.within, within.proxyFault(e, test.active), name)
		assert.Equal(t, test.outbound, outbound.proxyFault(e, test.active), name)
		assert.Equal(t, test.inbound, inbound.proxyFault(e, test.active), name)
		assert.Equal(t, test.elsewhere, elsewhere.proxyFault(e, test.active), name)
	}
}
