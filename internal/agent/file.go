package agent

import (
	"os"
	"path/filepath"
	"strings"
	"time"

	"pearknot/internal/fleet"
	"pearknot/internal/tomlfile"
)

// agentFile holds the settings of deploy/agent.toml. Times are in ms, as their names say. Its keys, and those of
// fleetFile, keep the names that operators' files use; DecodeOptions and ReadFleet map them to Options and
// fleet.Instance.
type agentFile struct {
	Dir        string   `toml:"dir"`
	Socket     string   `toml:"socket"`
	Binary     []string `toml:"binary"`
	CheckLists bool     `toml:"witness"`
	Rolling    struct {
		MaxUnavailable int     `toml:"at_once"`
		Canary         int     `toml:"canary"`
		HealthMs       float64 `toml:"health_ms"`
		NoRollback     bool    `toml:"no_revert"`
	} `toml:"rolling"`
	Timing struct {
		BusyIntervalMs      float64 `toml:"every_ms"`
		IdleIntervalMs      float64 `toml:"calm_ms"`
		CallTimeoutMs       float64 `toml:"call_within_ms"`
		StartTimeoutMs      float64 `toml:"start_within_ms"`
		ShutdownTimeoutMs   float64 `toml:"end_within_ms"`
		BaseBackoffMs       float64 `toml:"backoff_ms"`
		MaxBackoffMs        float64 `toml:"backoff_most_ms"`
		CrashLoopCount      int     `toml:"loop_count"`
		CrashLoopWindowMs   float64 `toml:"loop_within_ms"`
		ListCheckIntervalMs float64 `toml:"witness_ms"`
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

// DecodeOptions decodes the text of an agent's file. Errors contain name, and its directory is the base of relative
// paths.
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
		return options, positions.Errorf("socket", "%s is too long for a Unix socket's path", options.Socket)
	}
	if strings.Contains(options.Binary[0], "/") { // else it is looked up in PATH
		options.Binary[0] = absolutePath(base, options.Binary[0])
	}
	return options, nil
}

// maxSocketPath bounds a socket's path, in bytes. It is below the 108 bytes of a Unix socket's address, with room for
// a terminating zero.
const maxSocketPath = 100

// defaultAgentFile returns the values of keys that a file does not have.
func defaultAgentFile() agentFile {
	timing := fleet.DefaultTiming()
	file := agentFile{Socket: "agent.sock", Binary: []string{"pearknot"}}
	file.Rolling.MaxUnavailable, file.Rolling.Canary, file.Rolling.HealthMs = 1, 1, 1000
	file.Timing.BusyIntervalMs, file.Timing.IdleIntervalMs = 100, 1000
	file.Timing.CallTimeoutMs, file.Timing.ListCheckIntervalMs = 1000, 5000
	file.Timing.StartTimeoutMs, file.Timing.ShutdownTimeoutMs = timing.StartTimeoutMs, timing.ShutdownTimeoutMs
	file.Timing.BaseBackoffMs, file.Timing.MaxBackoffMs = timing.BaseBackoffMs, timing.MaxBackoffMs
	file.Timing.CrashLoopCount, file.Timing.CrashLoopWindowMs = timing.CrashLoopCount, timing.CrashLoopWindowMs
	return file
}

// validate refuses values out of range.
func (f *agentFile) validate(positions *tomlfile.File) error {
	switch {
	case f.Dir == "":
		return positions.Errorf("dir", "none given")
	case len(f.Binary) == 0 || f.Binary[0] == "":
		return positions.Errorf("binary", "none given")
	case f.Rolling.MaxUnavailable < 1:
		return positions.Errorf("rolling.at_once", "%d is below 1", f.Rolling.MaxUnavailable)
	case f.Rolling.Canary < 0:
		return positions.Errorf("rolling.canary", "%d is below 0", f.Rolling.Canary)
	case f.Rolling.HealthMs < 0:
		return positions.Errorf("rolling.health_ms", "%v is below 0", f.Rolling.HealthMs)
	case f.Timing.CrashLoopCount < 1:
		return positions.Errorf("timing.loop_count", "%d is below 1", f.Timing.CrashLoopCount)
	}
	for _, duration := range []struct {
		key   string
		value float64 // ms
	}{
		{"every_ms", f.Timing.BusyIntervalMs},
		{"calm_ms", f.Timing.IdleIntervalMs},
		{"call_within_ms", f.Timing.CallTimeoutMs},
		{"start_within_ms", f.Timing.StartTimeoutMs},
		{"end_within_ms", f.Timing.ShutdownTimeoutMs},
		{"backoff_ms", f.Timing.BaseBackoffMs},
		{"backoff_most_ms", f.Timing.MaxBackoffMs},
		{"loop_within_ms", f.Timing.CrashLoopWindowMs},
		{"witness_ms", f.Timing.ListCheckIntervalMs},
	} {
		if !(duration.value >= 1 && duration.value <= 1e9) { // refuses NaN too
			return positions.Errorf("timing."+duration.key, "%v is not 1 to 1e9", duration.value)
		}
	}
	return nil
}

// options returns the options that a file declares, with paths as they are written in it.
func (f *agentFile) options() Options {
	return Options{
		Dir:               f.Dir,
		Socket:            f.Socket,
		Binary:            f.Binary,
		CheckLists:        f.CheckLists,
		BusyInterval:      milliseconds(f.Timing.BusyIntervalMs),
		IdleInterval:      milliseconds(f.Timing.IdleIntervalMs),
		CallTimeout:       milliseconds(f.Timing.CallTimeoutMs),
		ListCheckInterval: milliseconds(f.Timing.ListCheckIntervalMs),
		Rolling: fleet.Options{
			MaxUnavailable: f.Rolling.MaxUnavailable,
			Canary:         f.Rolling.Canary,
			HealthMs:       f.Rolling.HealthMs,
			NoRollback:     f.Rolling.NoRollback,
		},
		Timing: fleet.Timing{
			StartTimeoutMs:    f.Timing.StartTimeoutMs,
			ShutdownTimeoutMs: f.Timing.ShutdownTimeoutMs,
			BaseBackoffMs:     f.Timing.BaseBackoffMs,
			MaxBackoffMs:      f.Timing.MaxBackoffMs,
			CrashLoopCount:    f.Timing.CrashLoopCount,
			CrashLoopWindowMs: f.Timing.CrashLoopWindowMs,
			// An observation is renewed each round; this many rounds may be missed before it counts as unknown.
			ObservationTTLMs: max(5e3, 3*f.Timing.IdleIntervalMs+2*f.Timing.CallTimeoutMs),
		},
	}
}

// milliseconds converts a number of ms to a duration.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// absolutePath returns a path that is relative to a base, or the path itself if it is absolute.
func absolutePath(base, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(base, path)
}
