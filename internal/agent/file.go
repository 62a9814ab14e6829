package agent

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"pearknot/internal/fleet"
	"pearknot/internal/tomlfile"
)

// agentFile is deploy/agent.toml. Times are in ms, as their names say.
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
func DecodeOptions(name string, data []byte) (o Options, err error) {
	d := fleet.DefaultTiming()
	f := agentFile{Socket: "agent.sock", Binary: []string{"pearknot"}}
	f.Rolling.AtOnce, f.Rolling.Canary, f.Rolling.HealthMs = 1, 1, 1000
	t := &f.Timing
	t.EveryMs, t.CalmMs, t.CallWithinMs, t.WitnessMs = 100, 1000, 1000, 5000
	t.StartWithinMs, t.EndWithinMs, t.BackoffMs, t.BackoffMostMs = d.StartTimeout, d.ShutdownTimeout, d.BaseBackoffMs, d.MaxBackoffMs
	t.LoopCount, t.LoopWithinMs = d.CrashLoopCount, d.CrashLoopWindow
	at, err := tomlfile.Decode(name, data, &f)
	if err != nil {
		return o, err
	}
	base := filepath.Dir(name)
	abs := func(p string) string {
		if !filepath.IsAbs(p) {
			p = filepath.Join(base, p)
		}
		return p
	}
	switch {
	case f.Dir == "":
		return o, at.Errorf("dir", "none given")
	case len(f.Binary) == 0 || f.Binary[0] == "":
		return o, at.Errorf("binary", "none given")
	case f.Rolling.AtOnce < 1:
		return o, at.Errorf("rolling.at_once", "%d is below 1", f.Rolling.AtOnce)
	case f.Rolling.Canary < 0:
		return o, at.Errorf("rolling.canary", "%d is below 0", f.Rolling.Canary)
	case f.Rolling.HealthMs < 0:
		return o, at.Errorf("rolling.health_ms", "%v is below 0", f.Rolling.HealthMs)
	case t.LoopCount < 1:
		return o, at.Errorf("timing.loop_count", "%d is below 1", t.LoopCount)
	}
	for _, x := range []struct {
		key   string
		value float64
	}{{"every_ms", t.EveryMs}, {"calm_ms", t.CalmMs}, {"call_within_ms", t.CallWithinMs}, {"start_within_ms", t.StartWithinMs},
		{"end_within_ms", t.EndWithinMs}, {"backoff_ms", t.BackoffMs}, {"backoff_most_ms", t.BackoffMostMs}, {"loop_within_ms", t.LoopWithinMs},
		{"witness_ms", t.WitnessMs}} {
		if !(x.value >= 1 && x.value <= 1e9) {
			return o, at.Errorf("timing."+x.key, "%v is not 1 to 1e9", x.value)
		}
	}
	span := func(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
	o = Options{Dir: abs(f.Dir), Socket: f.Socket, Binary: f.Binary, CheckLists: f.Witness, BusyInterval: span(t.EveryMs), IdleInterval: span(t.CalmMs),
		CallTimeout: span(t.CallWithinMs), ListCheckInterval: span(t.WitnessMs),
		Rolling: fleet.Options{MaxUnavailable: f.Rolling.AtOnce, Canary: f.Rolling.Canary, HealthMs: f.Rolling.HealthMs, NoRollback: f.Rolling.NoRevert},
		Timing: fleet.Timing{StartTimeout: t.StartWithinMs, ShutdownTimeout: t.EndWithinMs, BaseBackoffMs: t.BackoffMs, MaxBackoffMs: t.BackoffMostMs,
			CrashLoopCount: t.LoopCount, CrashLoopWindow: t.LoopWithinMs, ObservationTTL: max(5e3, 3*t.CalmMs+2*t.CallWithinMs)}}
	if !filepath.IsAbs(o.Socket) {
		o.Socket = filepath.Join(o.Dir, o.Socket)
	}
	if len(o.Socket) > 100 {
		return o, at.Errorf("socket", "%s is longer than the system takes for a socket", o.Socket)
	}
	if strings.Contains(o.Binary[0], "/") {
		o.Binary[0] = abs(o.Binary[0])
	}
	return o, nil
}

// fleetFile is deploy/fleet.toml.
type fleetFile struct {
	Instance []struct {
		Name     string  `toml:"name"`
		Config   string  `toml:"config"`
		State    string  `toml:"state"`
		Listen   string  `toml:"listen"`
		List     string  `toml:"list"`
		Cores    float64 `toml:"cores"`
		MemoryMB float64 `toml:"memory_mb"`
		Sockets  int     `toml:"sockets"`
		TLS      string  `toml:"tls"` // a tls.toml, and in the place of its listen:
		TLSAt    string  `toml:"tls_listen"`
		Edge     string  `toml:"edge"` // an edge.toml
	} `toml:"instance"`
}

// ReadFleet reads the file in which an operator declares instances. It returns them, and for each the text of its
// configuration: its configuration file with the values from here in place of those there.
func ReadFleet(name string) (instances []fleet.Instance, configs map[string]string, err error) {
	var f fleetFile
	at, err := tomlfile.Read(name, &f)
	if err != nil {
		return nil, nil, err
	}
	configs = map[string]string{}
	for k, i := range f.Instance {
		key := fmt.Sprintf("instance.%d.", k)
		if i.Name == "" {
			return nil, nil, at.Errorf(key+"name", "none given")
		}
		if _, twice := configs[i.Name]; twice {
			return nil, nil, at.Errorf(key+"name", "%s declared twice", i.Name)
		}
		if i.Config == "" {
			return nil, nil, at.Errorf(key+"config", "none given")
		}
		if i.State == "" {
			i.State = string(fleet.Running)
		}
		if i.State != string(fleet.Running) && i.State != string(fleet.Stopped) {
			return nil, nil, at.Errorf(key+"state", "%q is neither running nor stopped", i.State)
		}
		if i.Cores < 0 || i.MemoryMB < 0 || i.Sockets < 0 {
			return nil, nil, at.Errorf(key+"cores", "limits below 0")
		}
		path := i.Config
		if !filepath.IsAbs(path) {
			path = filepath.Join(filepath.Dir(name), path)
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, nil, at.Errorf(key+"config", "%v", err)
		}
		limits := map[string]any{}
		for what, x := range map[string]float64{"cores": i.Cores, "memory_mb": i.MemoryMB, "sockets": float64(i.Sockets)} {
			if x > 0 {
				limits[what] = x
			}
		}
		for what, file := range map[string]*string{"tls": &i.TLS, "edge": &i.Edge} {
			if *file == "" {
				continue
			}
			if !filepath.IsAbs(*file) {
				*file = filepath.Join(filepath.Dir(name), *file)
			}
			if *file, err = filepath.Abs(*file); err == nil {
				_, err = os.Stat(*file)
			}
			if err != nil {
				return nil, nil, at.Errorf(key+what, "%v", err)
			}
		}
		if i.TLS == "" && i.TLSAt != "" {
			return nil, nil, at.Errorf(key+"tls_listen", "goes with tls")
		}
		text, listen, list, err := Configure(data, map[string]any{"name": i.Name, "listen": i.Listen, "discovery": i.List, "tls": i.TLS,
			"tls_listen": i.TLSAt, "edge": i.Edge}, limits)
		if err != nil {
			return nil, nil, at.Errorf(key+"config", "%s: %v", path, err)
		}
		instances = append(instances, fleet.Instance{Name: i.Name, Listen: listen, Config: path, Discovery: list, Desired: fleet.DesiredState(i.State)})
		configs[i.Name] = text
	}
	return instances, configs, nil
}

// Configure replaces values in a configuration and returns its text, with the addresses that the node listens at
// and polls its endpoint list from. Empty values replace nothing.
func Configure(data []byte, values, limits map[string]any) (text, listen, list string, err error) {
	var c map[string]any
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber() // a number keeps its text
	if err := d.Decode(&c); err != nil {
		return "", "", "", fmt.Errorf("no configuration: %w", err)
	}
	for k, v := range values {
		if v != "" {
			c[k] = v
		}
	}
	if len(limits) > 0 {
		was, _ := c["limits"].(map[string]any)
		if was == nil {
			was = map[string]any{}
		}
		for k, v := range limits {
			was[k] = v
		}
		c["limits"] = was
	}
	listen, _ = c["listen"].(string)
	list, _ = c["discovery"].(string)
	for what, address := range map[string]string{"listen": listen, "discovery": list} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return "", "", "", fmt.Errorf("%s: %w", what, err)
		}
	}
	out, err := json.MarshalIndent(c, "", " ")
	return string(out) + "\n", listen, list, err
}
