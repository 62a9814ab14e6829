package client

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"pearknot/internal/clock"
	"pearknot/internal/controlplane"
	"pearknot/internal/testlog"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// An error in the file or in the keys is reported in one line with its position. deploy/control-plane.toml is valid as it is.
func TestFileErrorsIncludePosition(t *testing.T) {
	text, err := os.ReadFile("../../../deploy/control-plane.toml")
	require.NoError(t, err)
	example := string(text)
	read := func(t *testing.T, text string, mode os.FileMode, key string) (*ControlPlane, error) {
		t.Helper()
		dir := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(dir, "control-plane.key"), []byte(key), mode))
		require.NoError(t, os.Chmod(filepath.Join(dir, "control-plane.key"), mode))
		file := filepath.Join(dir, "c.toml")
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		return ReadFile(file)
	}
	key := strings.Repeat("0f", 32) + "\n"
	plane, err := read(t, example, 0o600, key)
	require.NoError(t, err)
	require.Len(t, plane.Members, 4)
	require.Equal(t, Member{Name: "c4", Region: "east", Address: "127.0.0.1:7304"}, plane.Members[3])
	nodeConfig, err := plane.NodeConfig("n1")
	require.NoError(t, err)
	require.Equal(t, "n1.copy", filepath.Base(nodeConfig.CopyFile))
	_, err = plane.NodeConfig("../n1")
	require.ErrorContains(t, err, `node name "../n1" is not valid in a file name`)
	_, err = plane.FindMember("c9")
	require.ErrorContains(t, err, `no member is named "c9"`)

	replace := func(pairs ...string) string { return strings.NewReplacer(pairs...).Replace(example) }
	withMembers := func(count int, voter bool) string {
		var members strings.Builder
		for i := range count {
			fmt.Fprintf(&members, "\n[[member]]\nname = \"m%d\"\nregion = \"r%d\"\naddress = \"127.0.0.1:%d\"\nvoter = %v\n", i, i, 7400+i, voter)
		}
		return example + members.String()
	}
	for name, c := range map[string]struct{ text, want string }{
		"unknown key":        {"extra = 1\n" + example, "c.toml:1:1: unknown key extra"},
		"no fleet":           {replace(`"bank-east"  `, `""  `), "c.toml:5:1: fleet: "},
		"unknown region":     {replace(`region = "east"                `, `region = "south" `), `c.toml:7:1: region: "south" has no member`},
		"no voter":           {replace("voter = true", "voter = false"), "no member is a voter"},
		"two voters":         {strings.Replace(example, "voter = true", "voter = false", 1), "2 voters: an even number"},
		"four voters":        {withMembers(1, true), "4 voters: an even number"},
		"six voters":         {withMembers(3, true), "6 voters, at most 5 are allowed"},
		"22 members":         {withMembers(18, false), "22 members, at most 21 are allowed"},
		"name twice":         {replace(`"c2"`, `"c1"`), `member.1.name: "c1" is not a valid name (letters, digits, dots and dashes) or is the name of another member`},
		"name with a path":   {replace(`"c2"`, `"../c2"`), `member.1.name: "../c2" is not a valid name`},
		"address twice":      {replace(`7302`, `7301`), `member.1.address: "127.0.0.1:7301" is the address of another member`},
		"no port":            {replace(`127.0.0.1:7302`, `127.0.0.1`), "member.1.address: "},
		"port 0":             {replace(`127.0.0.1:7302`, `127.0.0.1:0`), "member.1.address: "},
		"no region":          {replace(`region = "north"`, `region = ""`), "member.1.region: "},
		"no key file":        {replace(`"control-plane.key"`, `"other.key"`), "key_file: "},
		"text for a boolean": {replace("voter = true", `voter = "yes"`), "c.toml:16:"},
	} {
		_, err := read(t, c.text, 0o600, key)
		require.Error(t, err, name)
		assert.Contains(t, err.Error(), c.want, name)
		assert.NotContains(t, err.Error(), "\n", name)
		assert.Regexp(t, `c\.toml:\d+:\d+: `, err.Error(), name)
	}
	_, err = read(t, example, 0o644, key)
	require.ErrorContains(t, err, "may be read by others")
	_, err = read(t, example, 0o600, "abc\n")
	require.ErrorContains(t, err, "key must be 32 bytes in hexadecimal")
}

// A stored copy that is truncated anywhere, has any byte flipped or belongs to another fleet is rejected.
func TestDamagedCopyIsRefused(t *testing.T) {
	doc, err := controlplane.Parse([]byte(`{"a":[1,2,3],"b":{"c":"d"}}`))
	require.NoError(t, err)
	encoded := encodeCopy(12, "fleet \"one\"", doc.Text())
	got, err := decodeCopy(encoded, "fleet \"one\"")
	require.NoError(t, err)
	require.Equal(t, uint64(12), got.Version)
	require.Equal(t, doc.Digest(), got.Document.Digest())
	for i := range encoded {
		_, err := decodeCopy(encoded[:i], "fleet \"one\"")
		require.Error(t, err, "cut at %d", i)
		flipped := bytes.Clone(encoded)
		flipped[i] ^= 0x10
		_, err = decodeCopy(flipped, "fleet \"one\"")
		require.Error(t, err, "byte %d", i)
	}
	_, err = decodeCopy(encoded, "two")
	require.ErrorContains(t, err, "belongs to fleet")
}

// A second process starts while another one holds the copy's lock. It can read the copy but not write it until the first has ended. A
// damaged copy is set aside with one line in the log.
func TestCopyStoreHasOneWriter(t *testing.T) {
	file, log := filepath.Join(t.TempDir(), "state", "n1.copy"), &testlog.Buffer{}
	logger := slog.New(slog.NewTextHandler(log, nil))
	first, stored, err := OpenCopyStore(file, "f", logger)
	require.NoError(t, err)
	require.Zero(t, stored.Version)
	require.NoError(t, first.Write(3, []byte(`{}`)))
	second, stored, err := OpenCopyStore(file, "f", logger)
	require.NoError(t, err)
	require.Equal(t, uint64(3), stored.Version)
	require.ErrorIs(t, second.Write(4, []byte(`{}`)), errLocked)
	first.Close()
	require.NoError(t, second.Write(5, []byte(`{}`)))
	// Three versions are queued and the process ends: the newest is written.
	doc, err := controlplane.Parse([]byte(`{"a":1}`))
	require.NoError(t, err)
	for v := range uint64(3) {
		second.QueueWrite(controlplane.VersionedDocument{Version: 6 + v, Document: doc})
	}
	ended, end := context.WithCancel(t.Context())
	end()
	second.Run(ended)
	second.Close()
	last, stored, err := OpenCopyStore(file, "f", logger)
	require.NoError(t, err)
	require.Equal(t, uint64(8), stored.Version)
	last.Close()
	require.NoError(t, os.WriteFile(file, []byte("garbage"), 0o600))
	third, stored, err := OpenCopyStore(file, "f", logger)
	require.NoError(t, err)
	defer third.Close()
	require.Zero(t, stored.Version)
	require.Equal(t, 1, strings.Count(log.String(), "\n"), log.String())
	require.Contains(t, log.String(), "damaged, set aside")
	aside, err := filepath.Glob(file + ".damaged-*")
	require.NoError(t, err)
	require.Len(t, aside, 1)
}

// No member is reachable. The client applies the stored copy, and stops promptly.
func TestClientWithoutMembers(t *testing.T) {
	file := filepath.Join(t.TempDir(), "n1.copy")
	copyStore, _, err := OpenCopyStore(file, "f", slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	require.NoError(t, copyStore.Write(7, []byte(`{"a":1}`)))
	copyStore.Close()
	applied := make(chan uint64, 1)
	c, err := New(Config{Fleet: "f", Name: "n1", Region: "r", Members: []Member{{Name: "c1", Region: "r", Address: "127.0.0.1:1"}},
		Keys: [][]byte{bytes.Repeat([]byte{1}, 32)}, CopyFile: file}, func(version uint64, _ []byte) error { applied <- version; return nil }, clock.New(), slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	version, text, hasCopy := c.StoredCopy()
	require.True(t, hasCopy)
	require.Equal(t, uint64(7), version)
	require.Contains(t, string(text), `"a":1`)
	c.Start()
	require.Equal(t, uint64(7), <-applied)
	require.Eventually(t, func() bool {
		s, err := c.State(t.Context())
		return err == nil && s.AppliedVersion == 7 && s.Member == "" && s.Dials > 0 && FiniteOrNil(s.StalenessMs) == nil
	}, 5*time.Second, 10*time.Millisecond)
	c.Stop()
	_, err = c.State(t.Context())
	require.Error(t, err)
}

// Several versions arrive while one is being applied. Only the newest is applied next; its apply fails and is reported as rejected.
func TestOnlyTheNewestVersionIsApplied(t *testing.T) {
	started, proceed, applied := make(chan bool, 1), make(chan bool), make(chan uint64, 10)
	c, err := New(Config{Fleet: "f", Name: "n1", Region: "r"}, func(version uint64, _ []byte) error {
		if version == 1 {
			started <- true
			<-proceed
		}
		applied <- version
		if version == 4 {
			return errors.New("not that one")
		}
		return nil
	}, clock.New(), slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	c.Start()
	defer c.Stop()
	doc, err := controlplane.Parse([]byte(`{}`))
	require.NoError(t, err)
	queue := func(v uint64) {
		c.mailbox.Put(func() { c.queueForApply(controlplane.VersionedDocument{Version: v, Document: doc}) })
	}
	queue(1)
	<-started
	for v := range uint64(3) {
		queue(v + 2)
	}
	_, err = c.State(t.Context()) // the actor has handled all of them
	require.NoError(t, err)
	close(proceed)
	require.Equal(t, uint64(1), <-applied)
	require.Equal(t, uint64(4), <-applied)
	require.Eventually(t, func() bool {
		s, err := c.State(t.Context())
		return err == nil && s.AppliedVersion == 1 && s.RejectedVersion == 4 && s.RejectReason == "not that one"
	}, 5*time.Second, time.Millisecond)
}

// A message is unchanged after it is split into fragments and assembled. Malformed input is an error and causes no panic.
func TestMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := CallRequest{Method: rapid.String().Draw(t, "method"), Version: rapid.Uint64().Draw(t, "version")}
		text := bytes.Repeat([]byte(rapid.StringN(0, 40, 40).Draw(t, "text")), rapid.IntRange(0, 200).Draw(t, "times"))
		frames, err := EncodeMessage(&in, text)
		require.NoError(t, err)
		var assembler MessageAssembler
		for i, frame := range frames {
			isLast, err := assembler.AddFrame(frame)
			require.NoError(t, err)
			require.Equal(t, i == len(frames)-1, isLast)
		}
		var out CallRequest
		decodedText, err := assembler.Decode(&out)
		require.NoError(t, err)
		in.Method = strings.ToValidUTF8(in.Method, "\ufffd")
		require.Equal(t, in, out)
		require.True(t, bytes.Equal(text, decodedText))
	})
	for _, malformed := range [][]byte{nil, {9}, {0}, {0, 1, 2, 3}} {
		var assembler MessageAssembler
		if isLast, err := assembler.AddFrame(malformed); err == nil && isLast {
			_, err = assembler.Decode(&CallRequest{})
			require.Error(t, err, "%v", malformed)
		}
	}
	var assembler MessageAssembler
	assembler.data = make([]byte, MaxMessageBytes)
	_, err := assembler.AddFrame([]byte{fragmentMore, 1})
	require.ErrorContains(t, err, "message is longer than")
}

// Two members know the same node, one of them from an older status, and both report that they lead, one of them with a stale copy. The
// report has the highest head, the latest status of each node and the leader that is not stale. A member that doesn't respond and a node
// that rejects a version are problems.
func TestReport(t *testing.T) {
	pointer := func(x float64) *float64 { return &x }
	node := func(name string, applied uint64, behind, staleness, lastSeen float64) FollowerStatus {
		return FollowerStatus{Name: name, Region: "east", Kind: controlplane.KindNode, StoredVersion: applied, AppliedVersion: applied, BehindMs: behind, StalenessMs: pointer(staleness), LastSeenMs: lastSeen}
	}
	results := []StatusResult{
		{Member: Member{Name: "c1"}, Status: &MemberStatus{Name: "c1", Head: 9, StalenessMs: pointer(100), Leader: "c1", Followers: []FollowerStatus{
			node("n1", 7, 3000, 100, 5000), node("n2", 9, 0, 100, 10)}}},
		{Member: Member{Name: "c2"}, Status: &MemberStatus{Name: "c2", Head: 8, StalenessMs: pointer(9000), Leader: "c2", Followers: []FollowerStatus{
			node("n1", 8, 0, 9000, 100), {Name: "c4", Kind: controlplane.KindMember}}}},
	}
	report := NewReport(results)
	require.Equal(t, uint64(9), report.Version)
	require.Equal(t, "c1", report.Leader, "the other one is stale")
	require.Equal(t, []ReportRegion{{Region: "east", Nodes: 2, Behind: 1, WorstBehindMs: 9000}}, report.Regions)
	require.Len(t, report.Behind, 1)
	require.Equal(t, "c2", report.Behind[0].Member)
	require.Equal(t, "node n1 is behind", report.FirstProblem())
	results[1].Status.Head = 9
	require.Zero(t, NewReport(results).Behind[0].BehindMs, "its member has the version, and reports it as just behind")
	results[1].Err = context.DeadlineExceeded
	require.Equal(t, "member c2 does not answer", NewReport(results).FirstProblem())
	results = results[:1]
	results[0].Status.Followers[0].RejectedVersion, results[0].Status.Followers[0].RejectReason = 9, "kinds"
	require.Equal(t, "node n1 refuses: kinds", NewReport(results).FirstProblem())
}
