package agent

import (
	"os"
	"path/filepath"
	"strings"
	"time"

	"pearknot/internal/fleet"
	"pearknot/internal/tomlfile"
)

// agentFile is deploy/agent.toml. Times are in ms, as their names say. Its keys, and those of fleetFile, keep the
// words that operators' files have; DecodeOptions and ReadFleet map them to Options and fleet.Instance.
type agentFile struct {
	Dir     string   `toml:"dir"`
	Socket  string   `toml:"socket"`
	Binary  []string `toml:"binary"`
	Witness bool     `toml:"witness"`
	Rolling struct {
		AtOnce   int     `toml:"at_once"`
		Canary   int     `toml:"canary"`
		HealthMs float64 `toml:"health_ms"`
		NoRevert bool    `toml:"no_revert"`
	} `toml:"rolling"`
	Timing struct {
		EveryMs       float64 `toml:"every_ms"`
		CalmMs        float64 `toml:"calm_ms"`
		CallWithinMs  float64 `toml:"call_within_ms"`
		StartWithinMs float64 `toml:"start_within_ms"`
		EndWithinMs   float64 `toml:"end_within_ms"`
		BackoffMs     float64 `toml:"backoff_ms"`
		BackoffMostMs float64 `toml:"backoff_most_ms"`
		LoopCount     int     `toml:"loop_count"`
		LoopWithinMs  float64 `toml:"loop_within_ms"`
		WitnessMs     float64 `toml:"witness_ms"`
	} `toml:"timing"`
}

// ReadOptions reads the agent's file. Relative paths in it are relative to its directory.
func ReadOptions(name string) (Options, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return Options{}, err
	}
	return DecodeOptions(name, data)
}

// DecodeOptions is ReadOptions for a text; name stands in errors and is the base of relative paths.
func DecodeOptions(name string, data []byte) (Options, error) {
	file := defaultAgentFile()
	positions, err := tomlfile.Decode(name, data, &file)
	if err != nil {
		return Options{}, err
	}
	if err := file.validate(positions); err != nil {
		return Options{}, err
	}
	base := filepath.Dir(name)
	options := file.options()
	options.Dir = absolutePath(base, file.Dir)
	options.Socket = absolutePath(options.Dir, file.Socket)
	if len(options.Socket) > maxSocketPath {
		return options, positions.Errorf("socket", "%s is longer than the system takes for a socket", options.Socket)
	}
	if strings.Contains(options.Binary[0], "/") { // else it is looked up in PATH
		options.Binary[0] = absolutePath(base, options.Binary[0])
	}
	return options, nil
}

// maxSocketPath is below the 108 bytes of a Unix socket's address, with room for a terminating zero.
const maxSocketPath = 100

// defaultAgentFile returns the values of keys that a file does not have.
func defaultAgentFile() agentFile {
	timing := fleet.DefaultTiming()
	file := agentFile{Socket: "agent.sock", Binary: []string{"pearknot"}}
	file.Rolling.AtOnce, file.Rolling.Canary, file.Rolling.HealthMs = 1, 1, 1000
	file.Timing.EveryMs, file.Timing.CalmMs = 100, 1000
	file.Timing.CallWithinMs, file.Timing.WitnessMs = 1000, 5000
	file.Timing.StartWithinMs, file.Timing.EndWithinMs = timing.StartTimeout, timing.ShutdownTimeout
	file.Timing.BackoffMs, file.Timing.BackoffMostMs = timing.BaseBackoffMs, timing.MaxBackoffMs
	file.Timing.LoopCount, file.Timing.LoopWithinMs = timing.CrashLoopCount, timing.CrashLoopWindow
	return file
}

// validate refuses values out of range.
func (f *agentFile) validate(positions *tomlfile.File) error {
	switch {
	case f.Dir == "":
		return positions.Errorf("dir", "none given")
	case len(f.Binary) == 0 || f.Binary[0] == "":
		return positions.Errorf("binary", "none given")
	case f.Rolling.AtOnce < 1:
		return positions.Errorf("rolling.at_once", "%d is below 1", f.Rolling.AtOnce)
	case f.Rolling.Canary < 0:
		return positions.Errorf("rolling.canary", "%d is below 0", f.Rolling.Canary)
	case f.Rolling.HealthMs < 0:
		return positions.Errorf("rolling.health_ms", "%v is below 0", f.Rolling.HealthMs)
	case f.Timing.LoopCount < 1:
		return positions.Errorf("timing.loop_count", "%d is below 1", f.Timing.LoopCount)
	}
	for _, duration := range []struct {
		key   string
		value float64 // ms
	}{
		{"every_ms", f.Timing.EveryMs},
		{"calm_ms", f.Timing.CalmMs},
		{"call_within_ms", f.Timing.CallWithinMs},
		{"start_within_ms", f.Timing.StartWithinMs},
		{"end_within_ms", f.Timing.EndWithinMs},
		{"backoff_ms", f.Timing.BackoffMs},
		{"backoff_most_ms", f.Timing.BackoffMostMs},
		{"loop_within_ms", f.Timing.LoopWithinMs},
		{"witness_ms", f.Timing.WitnessMs},
	} {
		if !(duration.value >= 1 && duration.value <= 1e9) { // refuses NaN too
			return positions.Errorf("timing."+duration.key, "%v is not 1 to 1e9", duration.value)
		}
	}
	return nil
}

// options returns the options that a file declares, with its paths as they stand in it.
func (f *agentFile) options() Options {
	return Options{
		Dir:               f.Dir,
		Socket:            f.Socket,
		Binary:            f.Binary,
		CheckLists:        f.Witness,
		BusyInterval:      milliseconds(f.Timing.EveryMs),
		IdleInterval:      milliseconds(f.Timing.CalmMs),
		CallTimeout:       milliseconds(f.Timing.CallWithinMs),
		ListCheckInterval: milliseconds(f.Timing.WitnessMs),
		Rolling: fleet.Options{
			MaxUnavailable: f.Rolling.AtOnce,
			Canary:         f.Rolling.Canary,
			HealthMs:       f.Rolling.HealthMs,
			NoRollback:     f.Rolling.NoRevert,
		},
		Timing: fleet.Timing{
			StartTimeout:    f.Timing.StartWithinMs,
			ShutdownTimeout: f.Timing.EndWithinMs,
			BaseBackoffMs:   f.Timing.BackoffMs,
			MaxBackoffMs:    f.Timing.BackoffMostMs,
			CrashLoopCount:  f.Timing.LoopCount,
			CrashLoopWindow: f.Timing.LoopWithinMs,
			// An observation is renewed each round; this many rounds may be missed before it counts as unknown.
			ObservationTTL: max(5e3, 3*f.Timing.CalmMs+2*f.Timing.CallWithinMs),
		},
	}
}

// milliseconds returns a duration of so many ms.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// absolutePath returns a path that is relative to a base, or the path itself if it is absolute.
func absolutePath(base, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(base, path)
}
