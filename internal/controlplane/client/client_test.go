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
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"pearknot/internal/clock"
	"pearknot/internal/controlplane"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// What is wrong in the file or with the keys is one line that names its place; deploy/control-plane.toml is read as it is.
func TestFileIsStrict(t *testing.T) {
	text, err := os.ReadFile("../../../deploy/control-plane.toml")
	require.NoError(t, err)
	whole := string(text)
	read := func(t *testing.T, text string, mode os.FileMode, key string) (*ControlPlane, error) {
		dir := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(dir, "control-plane.key"), []byte(key), mode))
		require.NoError(t, os.Chmod(filepath.Join(dir, "control-plane.key"), mode))
		file := filepath.Join(dir, "c.toml")
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		return ReadFile(file)
	}
	key := strings.Repeat("0f", 32) + "\n"
	p, err := read(t, whole, 0o600, key)
	require.NoError(t, err)
	require.Len(t, p.Members, 4)
	require.Equal(t, Member{Name: "c4", Region: "east", Address: "127.0.0.1:7304"}, p.Members[3])
	n, err := p.NodeConfig("n1")
	require.NoError(t, err)
	require.Equal(t, "n1.copy", filepath.Base(n.CopyFile))
	_, err = p.NodeConfig("../n1")
	require.ErrorContains(t, err, "can't have a file there")
	_, err = p.FindMember("c9")
	require.ErrorContains(t, err, `none is called "c9"`)

	replace := func(pairs ...string) string { return strings.NewReplacer(pairs...).Replace(whole) }
	more := func(n int, voter bool) string {
		var b strings.Builder
		for k := range n {
			fmt.Fprintf(&b, "\n[[member]]\nname = \"m%d\"\nregion = \"r%d\"\naddress = \"127.0.0.1:%d\"\nvoter = %v\n", k, k, 7400+k, voter)
		}
		return whole + b.String()
	}
	for name, c := range map[string]struct{ text, want string }{
		"unknown key":        {"extra = 1\n" + whole, "c.toml:1:1: unknown key extra"},
		"no fleet":           {replace(`"bank-east"  `, `""  `), "c.toml:5:1: fleet: "},
		"unknown region":     {replace(`region = "east"                `, `region = "south" `), `c.toml:7:1: region: "south" has no member`},
		"no voter":           {replace("voter = true", "voter = false"), "none is a voter"},
		"two voters":         {strings.Replace(whole, "voter = true", "voter = false", 1), "2 voters: an even number"},
		"four voters":        {more(1, true), "4 voters: an even number"},
		"six voters":         {more(3, true), "6 voters, 5 at most"},
		"22 members":         {more(18, false), "22 members, 21 at most"},
		"a name twice":       {replace(`"c2"`, `"c1"`), `member.1.name: "c1" is no name of letters, digits, dots and dashes, or another's`},
		"a name that climbs": {replace(`"c2"`, `"../c2"`), `member.1.name: "../c2" is no name`},
		"an address twice":   {replace(`7302`, `7301`), `member.1.address: "127.0.0.1:7301" is another's`},
		"no port":            {replace(`127.0.0.1:7302`, `127.0.0.1`), "member.1.address: "},
		"port 0":             {replace(`127.0.0.1:7302`, `127.0.0.1:0`), "member.1.address: "},
		"no region":          {replace(`region = "north"`, `region = ""`), "member.1.region: "},
		"no key file":        {replace(`"control-plane.key"`, `"other.key"`), "key_file: "},
		"a text for a flag":  {replace("voter = true", `voter = "yes"`), "c.toml:16:"},
	} {
		_, err := read(t, c.text, 0o600, key)
		require.Error(t, err, name)
		assert.Contains(t, err.Error(), c.want, name)
		assert.NotContains(t, err.Error(), "\n", name)
		assert.Regexp(t, `c\.toml:\d+:\d+: `, err.Error(), name)
	}
	_, err = read(t, whole, 0o644, key)
	require.ErrorContains(t, err, "may be read by others")
	_, err = read(t, whole, 0o600, "abc\n")
	require.ErrorContains(t, err, "no 32 bytes in hexadecimal")
}

// A copy that is cut anywhere, or has any byte flipped, is no copy; nor is another fleet's.
func TestCopyCutAtAnyByte(t *testing.T) {
	doc, err := controlplane.Parse([]byte(`{"a":[1,2,3],"b":{"c":"d"}}`))
	require.NoError(t, err)
	whole := encodeCopy(12, "fleet \"one\"", doc.Text())
	got, err := decodeCopy(whole, "fleet \"one\"")
	require.NoError(t, err)
	require.Equal(t, uint64(12), got.Version)
	require.Equal(t, doc.Digest(), got.Document.Digest())
	for k := range whole {
		_, err := decodeCopy(whole[:k], "fleet \"one\"")
		require.Error(t, err, "cut at %d", k)
		odd := bytes.Clone(whole)
		odd[k] ^= 0x10
		_, err = decodeCopy(odd, "fleet \"one\"")
		require.Error(t, err, "byte %d", k)
	}
	_, err = decodeCopy(whole, "two")
	require.ErrorContains(t, err, "of fleet")
}

// One process writes; one that comes beside it reads, and writes once the other has gone. What is damaged is set aside with one line.
func TestDiskHasOneWriter(t *testing.T) {
	file, log := filepath.Join(t.TempDir(), "state", "n1.copy"), &logBuffer{}
	say := slog.New(slog.NewTextHandler(log, nil))
	one, held, err := OpenCopyStore(file, "f", say)
	require.NoError(t, err)
	require.Zero(t, held.Version)
	require.NoError(t, one.Write(3, []byte(`{}`)))
	two, held, err := OpenCopyStore(file, "f", say)
	require.NoError(t, err)
	require.Equal(t, uint64(3), held.Version)
	require.ErrorIs(t, two.Write(4, []byte(`{}`)), errLocked)
	one.Close()
	require.NoError(t, two.Write(5, []byte(`{}`)))
	doc, err := controlplane.Parse([]byte(`{"a":1}`)) // offered, and the process ends: the newest is there
	require.NoError(t, err)
	for v := range uint64(3) {
		two.QueueWrite(controlplane.VersionedDocument{Version: 6 + v, Document: doc})
	}
	ended, end := context.WithCancel(t.Context())
	end()
	two.Run(ended)
	two.Close()
	last, held, err := OpenCopyStore(file, "f", say)
	require.NoError(t, err)
	require.Equal(t, uint64(8), held.Version)
	last.Close()
	require.NoError(t, os.WriteFile(file, []byte("garbage"), 0o600))
	three, held, err := OpenCopyStore(file, "f", say)
	require.NoError(t, err)
	defer three.Close()
	require.Zero(t, held.Version)
	require.Equal(t, 1, strings.Count(log.String(), "\n"), log.String())
	require.Contains(t, log.String(), "damaged, set aside")
	aside, err := filepath.Glob(file + ".damaged-*")
	require.NoError(t, err)
	require.Len(t, aside, 1)
}

// A client without a member that answers: what was on disk is put in force, and it ends at once.
func TestClientAlone(t *testing.T) {
	file := filepath.Join(t.TempDir(), "n1.copy")
	d, _, err := OpenCopyStore(file, "f", slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	require.NoError(t, d.Write(7, []byte(`{"a":1}`)))
	d.Close()
	put := make(chan uint64, 1)
	c, err := New(Config{Fleet: "f", Name: "n1", Region: "r", Members: []Member{{Name: "c1", Region: "r", Address: "127.0.0.1:1"}},
		Keys: [][]byte{bytes.Repeat([]byte{1}, 32)}, CopyFile: file}, func(version uint64, _ []byte) error { put <- version; return nil }, clock.New(), slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	version, text, there := c.StoredCopy()
	require.True(t, there)
	require.Equal(t, uint64(7), version)
	require.Contains(t, string(text), `"a":1`)
	c.Start()
	require.Equal(t, uint64(7), <-put)
	require.Eventually(t, func() bool {
		s, err := c.State(t.Context())
		return err == nil && s.AppliedVersion == 7 && s.Member == "" && s.Dials > 0 && FiniteOrNil(s.StalenessMs) == nil
	}, 5*time.Second, 10*time.Millisecond)
	c.Stop()
	_, err = c.State(t.Context())
	require.Error(t, err)
}

// Newest only: versions that come while one is being put in force are passed over but for the last.
func TestNewestOnly(t *testing.T) {
	begun, goOn, put := make(chan bool, 1), make(chan bool), make(chan uint64, 10)
	c, err := New(Config{Fleet: "f", Name: "n1", Region: "r"}, func(version uint64, _ []byte) error {
		if version == 1 {
			begun <- true
			<-goOn
		}
		put <- version
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
	offer := func(v uint64) {
		c.mailbox.Put(func() { c.queueForApply(controlplane.VersionedDocument{Version: v, Document: doc}) })
	}
	offer(1)
	<-begun
	for v := range uint64(3) {
		offer(v + 2)
	}
	_, err = c.State(t.Context()) // they lie there
	require.NoError(t, err)
	close(goOn)
	require.Equal(t, uint64(1), <-put)
	require.Equal(t, uint64(4), <-put)
	require.Eventually(t, func() bool {
		s, err := c.State(t.Context())
		return err == nil && s.AppliedVersion == 1 && s.RejectedVersion == 4 && s.RejectReason == "not that one"
	}, 5*time.Second, time.Millisecond)
}

// A message in pieces comes out as it went in; what is no message is an error, and nothing panics.
func TestMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := CallRequest{Method: rapid.String().Draw(t, "op"), Version: rapid.Uint64().Draw(t, "version")}
		text := bytes.Repeat([]byte(rapid.StringN(0, 40, 40).Draw(t, "text")), rapid.IntRange(0, 200).Draw(t, "times"))
		frames, err := EncodeMessage(&in, text)
		require.NoError(t, err)
		var g MessageAssembler
		for k, f := range frames {
			whole, err := g.AddFrame(f)
			require.NoError(t, err)
			require.Equal(t, k == len(frames)-1, whole)
		}
		var out CallRequest
		its, err := g.Decode(&out)
		require.NoError(t, err)
		in.Method = strings.ToValidUTF8(in.Method, "\ufffd")
		require.Equal(t, in, out)
		require.True(t, bytes.Equal(text, its))
	})
	for _, odd := range [][]byte{nil, {9}, {0}, {0, 1, 2, 3}} {
		var g MessageAssembler
		if whole, err := g.AddFrame(odd); err == nil && whole {
			_, err = g.Decode(&CallRequest{})
			require.Error(t, err, "%v", odd)
		}
	}
	var g MessageAssembler
	g.data = make([]byte, MaxMessageBytes)
	_, err := g.AddFrame([]byte{fragmentMore, 1})
	require.ErrorContains(t, err, "message of over")
}

// Members' words together: of a node that several know of the latest counts, one that doesn't answer is unknown, and the head is the
// highest.
func TestReported(t *testing.T) {
	ms := func(x float64) *float64 { return &x }
	node := func(name string, inForce uint64, behind, age, seen float64) FollowerStatus {
		return FollowerStatus{Name: name, Region: "east", Kind: controlplane.KindNode, StoredVersion: inForce, AppliedVersion: inForce, BehindMs: behind, StalenessMs: ms(age), LastSeenMs: seen}
	}
	all := []StatusResult{
		{Member: Member{Name: "c1"}, Status: &MemberStatus{Name: "c1", Head: 9, StalenessMs: ms(100), Leader: "c1", Followers: []FollowerStatus{
			node("n1", 7, 3000, 100, 5000), node("n2", 9, 0, 100, 10)}}},
		{Member: Member{Name: "c2"}, Status: &MemberStatus{Name: "c2", Head: 8, StalenessMs: ms(9000), Leader: "c2", Followers: []FollowerStatus{
			node("n1", 8, 0, 9000, 100), {Name: "c4", Kind: controlplane.KindMember}}}},
	}
	r := NewReport(all)
	require.Equal(t, uint64(9), r.Version)
	require.Equal(t, "c1", r.Leader, "the other one's word is old")
	require.Equal(t, []ReportRegion{{Region: "east", Nodes: 2, Behind: 1, WorstBehindMs: 9000}}, r.Regions)
	require.Len(t, r.Behind, 1)
	require.Equal(t, "c2", r.Behind[0].Member)
	require.Equal(t, "node n1 is behind", r.FirstProblem())
	all[1].Status.Head = 9
	require.Zero(t, NewReport(all).Behind[0].BehindMs, "its member has the version, and no time has passed since")
	all[1].Err = context.DeadlineExceeded
	require.Equal(t, "member c2 does not answer", NewReport(all).FirstProblem())
	all = all[:1]
	all[0].Status.Followers[0].RejectedVersion, all[0].Status.Followers[0].RejectReason = 9, "kinds"
	require.Equal(t, "node n1 refuses: kinds", NewReport(all).FirstProblem())
}
