package main

import (
	"debug/elf"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// ignoreHangup is the only thing that may precede the program in the deploy file's run line.
const ignoreHangup = "trap '' HUP; "

// SIGHUP arrives while the run line's shell executes the program, which takes 4 ms or more until it handles signals. Without
// ignoreHangup the signal would end the process. The configuration is read after that, so nothing is lost with the signal; a
// later one is handled.
func TestHangupBeforeSignalHandling(t *testing.T) {
	first, firstQueries := newRecordedDiscovery(t)
	second, secondQueries := newRecordedDiscovery(t)
	config, err := os.ReadFile(writeConfig(t, &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}, 192, 256, "", settings))
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "config.json")
	write := func(discovery string) {
		require.NoError(t, os.WriteFile(file, discoveryKey.ReplaceAll(config, fmt.Appendf(nil, `"discovery":%q`, discovery)), 0o600))
	}
	write(first)
	// The shell sends the signal to itself right before it executes the program.
	process := exec.Command("sh", "-c", ignoreHangup+"kill -HUP $$; exec "+nodeProgram+" serve -config "+file)
	require.NoError(t, process.Start())
	t.Cleanup(func() { _ = process.Process.Kill(); _ = process.Wait() })
	assert.Equal(t, "from=41&hold_ms=1", <-firstQueries)
	write(second)
	require.NoError(t, process.Process.Signal(syscall.SIGHUP))
	assert.Equal(t, "", <-secondQueries)
}

// The benchmark of large fleets preloads a library into the node. That takes a program that is linked against the C library
// dynamically, and a run line that ends in that one process.
func TestDeployedNodeIsOneDynamicProcess(t *testing.T) {
	data, err := os.ReadFile("../../deploy/balancer.toml")
	require.NoError(t, err)
	var deploy struct{ Build, Run string }
	require.NoError(t, toml.Unmarshal(data, &deploy))

	run, ok := strings.CutPrefix(deploy.Run, ignoreHangup+"exec ")
	require.True(t, ok, "run must end with exec: %s", deploy.Run)
	assert.False(t, strings.ContainsAny(run, "|&;<>()`$\n"), "run must start no other process: %s", run)

	require.Contains(t, deploy.Build, "-o bin/ ./cmd/...")
	dir := t.TempDir()
	build := exec.Command("sh", "-c", strings.ReplaceAll(strings.ReplaceAll(deploy.Build, "./cmd/...", "./cmd/pearknot"), "bin/", dir+"/"))
	build.Dir = "../.."
	out, err := build.CombinedOutput()
	require.NoError(t, err, string(out))
	built, err := elf.Open(filepath.Join(dir, "pearknot"))
	require.NoError(t, err)
	defer built.Close()
	require.NotNil(t, built.Section(".interp"), "the program must name the C library's loader")
	libraries, err := built.ImportedLibraries()
	require.NoError(t, err)
	assert.Contains(t, strings.Join(libraries, " "), "libc.so")
}

// The deploy file names all packages of the node, and no others.
func TestDeployNamesTheNodesPackages(t *testing.T) {
	data, err := os.ReadFile("../../deploy/balancer.toml")
	require.NoError(t, err)
	var deploy struct{ Node []string }
	require.NoError(t, toml.Unmarshal(data, &deploy))
	list := exec.Command("go", "list", "-deps", "./cmd/pearknot")
	list.Dir = "../.."
	out, err := list.Output()
	require.NoError(t, err)
	var want []string
	for name := range strings.Lines(string(out)) {
		if name, isLocal := strings.CutPrefix(strings.TrimSpace(name), "pearknot/"); isLocal && name != "balancer" {
			want = append(want, name)
		}
	}
	assert.ElementsMatch(t, want, deploy.Node)
}
