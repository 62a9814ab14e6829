package main

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/internal/controlplane/client"
	"pearknot/internal/controlsocket"
	"pearknot/internal/lab/faultproxy"
	"pearknot/internal/testlog"
)

// controlPlaneRig is a control plane of real processes. Each link from a process to a member goes through a fault-injecting
// proxy of its own. The tests judge it from outside, by what the nodes say at their control sockets.
type controlPlaneRig struct {
	t         *testing.T
	dir       string
	discovery string
	members   []client.Member
	links     map[string]map[string]*faultproxy.Proxy // from a process, to a member
	processes map[string]*rigProcess
	operators *client.ControlPlane
	file      string // the operators'
}

type rigProcess struct {
	cmd     *exec.Cmd
	ended   chan struct{}
	log     *testlog.Buffer
	control string
	address string // of a node
}

// The bounds that docs/control-plane.md states.
const (
	maxApplyTime     = 6 * time.Second
	maxReconnectTime = 2 * time.Second
)

// settingsWithTenants returns settings that are long enough for a delta to be much shorter than the document.
func settingsWithTenants(n int, ttl int) string {
	var b strings.Builder
	for k := range n {
		fmt.Fprintf(&b, `%s{"name":"tenant-%05d","quotaPerS":%d}`, map[bool]string{true: ",\n"}[k > 0], k, 50+uint32(k)*2654435761%90000)
	}
	s := strings.Replace(settings, `"tenants":[]`, `"tenants":[`+b.String()+`]`, 1)
	return strings.Replace(s, `"ttl":4000`, fmt.Sprintf(`"ttl":%d`, ttl), 1)
}

// newControlPlaneRig starts members, given as name:region or name:region:voter, and waits until one leads.
func newControlPlaneRig(t *testing.T, members ...string) *controlPlaneRig {
	rig := &controlPlaneRig{t: t, dir: memoryDir(t), links: map[string]map[string]*faultproxy.Proxy{}, processes: map[string]*rigProcess{}}
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }))
	t.Cleanup(silent.Close)
	rig.discovery = silent.Listener.Addr().String()
	require.NoError(t, os.WriteFile(filepath.Join(rig.dir, "control-plane.key"), []byte(strings.Repeat("5a", 32)+"\n"), 0o600))
	for _, m := range members {
		parts := strings.Split(m, ":")
		rig.members = append(rig.members, client.Member{Name: parts[0], Region: parts[1], Voter: len(parts) > 2, Address: freeAddress(t)})
	}
	rig.file = rig.writeMemberFile("operators", rig.members[0].Region)
	var err error
	rig.operators, err = client.ReadFile(rig.file)
	require.NoError(t, err)
	for _, m := range rig.members {
		rig.startMember(m.Name, m.Voter)
	}
	rig.waitForLeader()
	rig.waitFor(10*time.Second, "all members are in touch", func() bool { // else nodes begin by looking for a fresher one
		return !slices.ContainsFunc(client.NewReport(rig.memberStatuses()).Members, func(m client.ReportMember) bool {
			return m.StalenessMs == nil || *m.StalenessMs > 1500
		})
	})
	return rig
}

// memoryDir returns a directory in memory, if the machine has one. These tests are of links and processes; on a disk that
// other work kept busy for 10 s, once no voter could lead.
func memoryDir(t *testing.T) string {
	dir, err := os.MkdirTemp("/dev/shm", "pk")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	return dir
}

// writeMemberFile writes the control plane's file as one process has it, in which all other members have their proxies'
// addresses.
func (rig *controlPlaneRig) writeMemberFile(process, region string) string {
	if rig.links[process] == nil {
		rig.links[process] = map[string]*faultproxy.Proxy{}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "fleet = %q\nkey_file = \"control-plane.key\"\nregion = %q\nstate_dir = \"state\"\n", "plane "+rig.members[0].Address, region)
	for _, m := range rig.members {
		address := m.Address
		if m.Name != process {
			w := rig.links[process][m.Name]
			if w == nil {
				var err error
				w, err = faultproxy.Open(m.Address)
				require.NoError(rig.t, err)
				rig.t.Cleanup(w.Close)
				rig.links[process][m.Name] = w
			}
			address = w.Address()
		}
		fmt.Fprintf(&b, "[[member]]\nname = %q\nregion = %q\naddress = %q\nvoter = %v\n", m.Name, m.Region, address, m.Voter)
	}
	file := filepath.Join(rig.dir, process+".toml")
	require.NoError(rig.t, os.WriteFile(file, []byte(b.String()), 0o600))
	return file
}

// startProcess starts a process and waits until it logs that it is ready. It is killed at the test's end.
func (rig *controlPlaneRig) startProcess(name, ready string, args ...string) *rigProcess {
	process := &rigProcess{cmd: exec.Command(nextProgram(), args...), ended: make(chan struct{}), log: &testlog.Buffer{}}
	stderr, err := process.cmd.StderrPipe()
	require.NoError(rig.t, err)
	require.NoError(rig.t, process.cmd.Start())
	go func() {
		_, _ = io.Copy(process.log, stderr)
		_ = process.cmd.Wait()
		close(process.ended)
	}()
	rig.t.Cleanup(func() {
		_ = process.cmd.Process.Kill()
		<-process.ended
		for _, odd := range []string{"panic", "DATA RACE"} {
			assert.NotContains(rig.t, process.log.String(), odd)
		}
	})
	rig.processes[name] = process
	rig.waitFor(20*time.Second, name+" is ready", func() bool {
		if strings.Contains(process.log.String(), ready) {
			return true
		}
		select {
		case <-process.ended:
			rig.t.Fatalf("%s ended: %s", name, process.log)
		default:
		}
		return false
	})
	return process
}

func (rig *controlPlaneRig) startMember(name string, bootstrap bool) *rigProcess {
	m := rig.members[slices.IndexFunc(rig.members, func(m client.Member) bool { return m.Name == name })]
	args := []string{"control-plane", rig.writeMemberFile(name, m.Region), "--name", name}
	if bootstrap {
		args = append(args, "--bootstrap")
	}
	return rig.startProcess(name, "control plane member started", args...)
}

// startNode starts a node, or its next incarnation, whose own file has the settings.
func (rig *controlPlaneRig) startNode(name, region, settings string) {
	config := filepath.Join(rig.dir, name+".json")
	require.NoError(rig.t, os.WriteFile(config, fmt.Appendf(nil, `{"name":%q,"listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f",
"limits":{"cores":1,"memory_mb":192,"sockets":256},"known":{"rev":41,"all":true,"targets":[]},"settings":%s}`, name, rig.discovery, settings), 0o600))
	socket := filepath.Join(rig.dir, name+".sock")
	process := rig.startProcess(name, "msg=serving", "serve", "-config", config, "--control-plane", rig.writeMemberFile(name, region), "--control", socket)
	process.control, process.address = socket, servingLine.FindStringSubmatch(process.log.String())[1]
}

// waitFor waits until a condition holds, and logs how long that took.
func (rig *controlPlaneRig) waitFor(d time.Duration, what string, f func() bool) {
	rig.t.Helper()
	startedAt := time.Now()
	if !assert.Eventually(rig.t, f, d, 10*time.Millisecond, what) {
		rig.t.Fatalf("not within %v: %s\n%s", d, what, rig.logs())
	}
	rig.t.Logf("%v: %s", time.Since(startedAt).Round(10*time.Millisecond), what)
}

func (rig *controlPlaneRig) logs() string {
	var logs strings.Builder
	for _, name := range slices.Sorted(maps.Keys(rig.processes)) {
		fmt.Fprintf(&logs, "--- %s\n%s", name, rig.processes[name].log)
	}
	return logs.String()
}

func (rig *controlPlaneRig) memberStatuses() []client.StatusResult {
	ctx, cancel := context.WithTimeout(rig.t.Context(), 2*time.Second)
	defer cancel()
	return rig.operators.MemberStatuses(ctx)
}

// waitForLeader waits until a voter leads with a majority, and returns its name.
func (rig *controlPlaneRig) waitForLeader() (name string) {
	rig.t.Helper()
	rig.waitFor(10*time.Second, "a voter leads", func() bool {
		name = client.NewReport(rig.memberStatuses()).Leader
		return name != ""
	})
	return name
}

// apply makes a new version and returns it with the time of the acknowledgement.
func (rig *controlPlaneRig) apply(text string) (version uint64, at time.Time) {
	rig.t.Helper()
	ctx, cancel := context.WithTimeout(rig.t.Context(), 10*time.Second)
	defer cancel()
	base, err := rig.operators.HeadVersion(ctx)
	if err == nil {
		version, err = rig.operators.Apply(ctx, base, []byte(text), "test", "")
	}
	if err != nil {
		rig.t.Fatalf("not applied: %v\n%s", err, rig.logs())
	}
	return version, time.Now()
}

// nodeSettings returns what a node says about its settings at its control socket.
func (rig *controlPlaneRig) nodeSettings(node string) (s controlsocket.ControlPlane, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var status controlsocket.Status
	if err := controlsocket.NewClient(rig.processes[node].control, time.Second).Call(ctx, "GET", controlsocket.StatusPath, nil, &status); err != nil {
		return s, err
	}
	if status.ControlPlane == nil {
		return s, errors.New("no control plane")
	}
	return *status.ControlPlane, nil
}

// waitUntilApplied waits until nodes say that a version is in force, with the digest of its text, within maxApplyTime of a
// time.
func (rig *controlPlaneRig) waitUntilApplied(version uint64, from time.Time, nodes ...string) {
	rig.t.Helper()
	ctx, cancel := context.WithTimeout(rig.t.Context(), 10*time.Second)
	defer cancel()
	_, text, _, err := rig.operators.GetVersion(ctx, version)
	require.NoError(rig.t, err)
	for _, n := range nodes {
		rig.waitFor(time.Until(from.Add(maxApplyTime)), fmt.Sprintf("version %d at %s", version, n), func() bool {
			s, err := rig.nodeSettings(n)
			return err == nil && s.ActiveVersion == version && s.Digest == hexDigest(text)
		})
		rig.t.Logf("seen there %v after the acknowledgement", time.Since(from).Round(time.Millisecond))
	}
}

// waitUntilFollows waits until a node follows one of some members, and returns what the node then says about its settings.
func (rig *controlPlaneRig) waitUntilFollows(node string, members ...string) (s controlsocket.ControlPlane) {
	rig.t.Helper()
	rig.waitFor(10*time.Second, node+" follows a member", func() bool {
		var err error
		s, err = rig.nodeSettings(node)
		return err == nil && slices.Contains(members, s.FollowedMember)
	})
	return s
}

func (rig *controlPlaneRig) kill(name string) {
	require.NoError(rig.t, rig.processes[name].cmd.Process.Kill())
	<-rig.processes[name].ended
}

func (rig *controlPlaneRig) signal(name string, s syscall.Signal) {
	require.NoError(rig.t, rig.processes[name].cmd.Process.Signal(s))
}

// setLinkFaults sets a fault on all links between two sets of processes, in both directions.
func (rig *controlPlaneRig) setLinkFaults(f faultproxy.Fault, one, other []string) {
	for _, a := range one {
		for _, b := range other {
			for _, w := range []*faultproxy.Proxy{rig.links[a][b], rig.links[b][a]} {
				if w != nil {
					w.SetFault(f)
				}
			}
		}
	}
}

// runConfig runs one of the `pearknot config` commands.
func (rig *controlPlaneRig) runConfig(args ...string) (status int, out, errs string) {
	var o, e strings.Builder
	status = run(append([]string{"config", "--file", rig.file}, args...), &o, &e)
	return status, o.String(), e.String()
}

func (rig *controlPlaneRig) writeFile(name, text string) string {
	file := filepath.Join(rig.dir, name)
	require.NoError(rig.t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func hexDigest(text []byte) string { return fmt.Sprintf("%x", sha256.Sum256(text)) }
