package serve

import (
	"net/netip"

	"pearknot/internal/admission"
	"pearknot/internal/tomlfile"
)

// edgeFile is deploy/edge.toml.
type edgeFile struct {
	Reserve    float64  `toml:"reserve"`
	PressedAt  float64  `toml:"pressed_at"`
	CalmAt     float64  `toml:"calm_at"`
	Unproven   int      `toml:"unproven"`
	Penalty    float64  `toml:"penalty"`
	FadeHalfS  float64  `toml:"fade_half_s"`
	KnownAfter float64  `toml:"known_after"`
	KnownHalfS float64  `toml:"known_half_s"`
	GraceMs    float64  `toml:"grace_ms"`
	IdleMs     float64  `toml:"idle_ms"`
	Addresses  int      `toml:"addresses"`
	Known      []string `toml:"known"`
}

// ReadEdge reads the operator's file of admission; how many descriptors clients have is the node's to say.
func ReadEdge(name string) (*admission.Limits, error) {
	l := admission.DefaultLimits(0)
	f := edgeFile{Reserve: l.ReservedShare, PressedAt: l.PressureStart, CalmAt: l.PressureEnd, Unproven: l.MaxUnproven, Penalty: l.MaxMisbehavior, FadeHalfS: l.MisbehaviorHalfLife / 1e3,
		KnownAfter: l.KnownAfter, KnownHalfS: l.KnownHalfLife / 1e3, GraceMs: l.SilentGrace, IdleMs: l.IdleGrace, Addresses: l.MaxRemembered}
	at, err := tomlfile.Read(name, &f)
	if err != nil {
		return nil, err
	}
	for _, x := range []struct {
		key               string
		value, from, most float64
	}{{"reserve", f.Reserve, 0, 0.9}, {"pressed_at", f.PressedAt, 0.1, 1}, {"calm_at", f.CalmAt, 0.05, f.PressedAt}, {"unproven", float64(f.Unproven), 1, 1e6},
		{"penalty", f.Penalty, 1, 1e6}, {"fade_half_s", f.FadeHalfS, 0.1, 86400}, {"known_after", f.KnownAfter, 1, 1e6},
		{"known_half_s", f.KnownHalfS, 1, 30 * 86400}, {"grace_ms", f.GraceMs, 1, 60e3}, {"idle_ms", f.IdleMs, 1, 600e3},
		{"addresses", float64(f.Addresses), 1, 1 << 20}} {
		if !(x.value >= x.from && x.value <= x.most) {
			return nil, at.Errorf(x.key, "%v is not %v to %v", x.value, x.from, x.most)
		}
	}
	l = admission.Limits{ReservedShare: f.Reserve, PressureStart: f.PressedAt, PressureEnd: f.CalmAt, MaxUnproven: f.Unproven, MaxMisbehavior: f.Penalty, MisbehaviorHalfLife: f.FadeHalfS * 1e3,
		KnownAfter: f.KnownAfter, KnownHalfLife: f.KnownHalfS * 1e3, SilentGrace: f.GraceMs, IdleGrace: f.IdleMs, MaxRemembered: f.Addresses}
	for _, text := range f.Known {
		p, err := netip.ParsePrefix(text)
		if err != nil {
			return nil, at.Errorf("known", "%q is no network, such as 10.0.0.0/8", text)
		}
		l.TrustedNetworks = append(l.TrustedNetworks, p.Masked())
	}
	return &l, nil
}
