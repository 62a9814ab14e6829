package serve

import (
	"net/netip"

	"pearknot/internal/admission"
	"pearknot/internal/tomlfile"
)

// admissionFile is deploy/edge.toml.
type admissionFile struct {
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

// ReadAdmission reads the operator's file of admission limits. How many connections clients may have is the node's to
// say.
func ReadAdmission(name string) (*admission.Limits, error) {
	content := admissionFileOf(admission.DefaultLimits(0))
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
			return nil, file.Errorf("known", "%q is no network, such as 10.0.0.0/8", text)
		}
		limits.TrustedNetworks = append(limits.TrustedNetworks, network.Masked())
	}
	return &limits, nil
}

func admissionFileOf(limits admission.Limits) admissionFile {
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

// keyRange is the range that a key's value must be in.
type keyRange struct {
	key             string
	value, min, max float64
}

// checkRanges returns an error at the first key whose value is out of range, or no number.
func checkRanges(file *tomlfile.File, ranges []keyRange) error {
	for _, r := range ranges {
		if !(r.value >= r.min && r.value <= r.max) {
			return file.Errorf(r.key, "%v is not %v to %v", r.value, r.min, r.max)
		}
	}
	return nil
}
