package serve

import (
	"net/netip"

	"pearknot/internal/admission"
	"pearknot/internal/tomlfile"
)

// admissionFile is the content of a file such as deploy/edge.toml. limits maps its keys, which must not change, to the fields
// of admission.Limits, where each one is explained. All keys are optional. The defaults are those of
// admission.DefaultLimits, the ranges those of ranges.
type admissionFile struct {
	Reserve    float64  `toml:"reserve"`      // share of the connections, 0 to 0.9; default 0.25
	PressedAt  float64  `toml:"pressed_at"`   // share of the connections, 0.1 to 1; default 0.75
	CalmAt     float64  `toml:"calm_at"`      // share of the connections, 0.05 to pressed_at; default 0.6
	Unproven   int      `toml:"unproven"`     // connections; default 16
	Penalty    float64  `toml:"penalty"`      // decayed count of misbehavior; default 32
	FadeHalfS  float64  `toml:"fade_half_s"`  // half-life of misbehavior, s; default 10
	KnownAfter float64  `toml:"known_after"`  // decayed count of answered requests; default 3
	KnownHalfS float64  `toml:"known_half_s"` // half-life of answered requests, s; default 600
	GraceMs    float64  `toml:"grace_ms"`     // ms; default 100
	IdleMs     float64  `toml:"idle_ms"`      // ms; default 2000
	Addresses  int      `toml:"addresses"`    // remembered addresses; default 4096
	Known      []string `toml:"known"`        // trusted networks, such as 10.0.0.0/8; default none
}

// ReadAdmission reads the operator's file of admission limits. MaxConnections is not in the file and is left 0: it is derived
// from the node's limit of descriptors.
func ReadAdmission(name string) (*admission.Limits, error) {
	content := newAdmissionFile(admission.DefaultLimits(0))
	file, err := tomlfile.Read(name, &content)
	if err != nil {
		return nil, err
	}
	if err := checkRanges(file, content.ranges()); err != nil {
		return nil, err
	}
	limits := content.limits()
	for _, text := range content.Known {
		network, err := netip.ParsePrefix(text)
		if err != nil {
			return nil, file.Errorf("known", "%q is not a network, such as 10.0.0.0/8", text)
		}
		limits.TrustedNetworks = append(limits.TrustedNetworks, network.Masked())
	}
	return &limits, nil
}

func newAdmissionFile(limits admission.Limits) admissionFile {
	return admissionFile{
		Reserve:    limits.ReservedShare,
		PressedAt:  limits.PressureStart,
		CalmAt:     limits.PressureEnd,
		Unproven:   limits.MaxUnproven,
		Penalty:    limits.MaxMisbehavior,
		FadeHalfS:  limits.MisbehaviorHalfLife / 1e3,
		KnownAfter: limits.KnownAfter,
		KnownHalfS: limits.KnownHalfLife / 1e3,
		GraceMs:    limits.SilentGrace,
		IdleMs:     limits.IdleGrace,
		Addresses:  limits.MaxRemembered,
	}
}

func (f *admissionFile) limits() admission.Limits {
	return admission.Limits{
		ReservedShare:       f.Reserve,
		PressureStart:       f.PressedAt,
		PressureEnd:         f.CalmAt,
		MaxUnproven:         f.Unproven,
		MaxMisbehavior:      f.Penalty,
		MisbehaviorHalfLife: f.FadeHalfS * 1e3,
		KnownAfter:          f.KnownAfter,
		KnownHalfLife:       f.KnownHalfS * 1e3,
		SilentGrace:         f.GraceMs,
		IdleGrace:           f.IdleMs,
		MaxRemembered:       f.Addresses,
	}
}

// ranges returns the range of each numeric key, both ends included.
func (f *admissionFile) ranges() []keyRange {
	return []keyRange{
		{"reserve", f.Reserve, 0, 0.9},
		{"pressed_at", f.PressedAt, 0.1, 1},
		{"calm_at", f.CalmAt, 0.05, f.PressedAt},
		{"unproven", float64(f.Unproven), 1, 1e6},
		{"penalty", f.Penalty, 1, 1e6},
		{"fade_half_s", f.FadeHalfS, 0.1, 86400},
		{"known_after", f.KnownAfter, 1, 1e6},
		{"known_half_s", f.KnownHalfS, 1, 30 * 86400},
		{"grace_ms", f.GraceMs, 1, 60e3},
		{"idle_ms", f.IdleMs, 1, 600e3},
		{"addresses", float64(f.Addresses), 1, 1 << 20},
	}
}

// keyRange holds the value of a key and the range that it must be in.
type keyRange struct {
	key             string
	value, min, max float64
}

// checkRanges returns an error at the first key whose value is out of range or not a number.
func checkRanges(file *tomlfile.File, ranges []keyRange) error {
	for _, r := range ranges {
		if !(r.value >= r.min && r.value <= r.max) {
			return file.Errorf(r.key, "%v is out of range %v to %v", r.value, r.min, r.max)
		}
	}
	return nil
}
