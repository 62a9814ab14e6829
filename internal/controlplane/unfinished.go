package controlplane

// What is here has its signature but not its body yet.

// The bounds of what is said and kept.
const (
	MostFrame    = 320 << 10 // bytes of a frame, either way
	MostDocument = 32 << 20  // bytes of a document's text
	TickMs       = 50.0      // how often Tick is due, of all three
	HeartbeatMs  = 1000.0
	LeaseMs      = 6000.0
)

type Document struct{ text []byte }

func Parse(text []byte) (*Document, error)                           { panic("unfinished") }
func (d *Document) Text() []byte                                     { panic("unfinished") }
func (d *Document) Digest() Digest                                   { panic("unfinished") }
func (d *Document) Lines() int                                       { panic("unfinished") }
func Diff(from, to *Document) []Splice                               { panic("unfinished") }
func (d *Document) Apply(s []Splice, want Digest) (*Document, error) { panic("unfinished") }

type History struct{ head uint64 }

func (h *History) Head() (version uint64, doc *Document)    { panic("unfinished") }
func (h *History) At(version uint64) (*Document, bool)      { panic("unfinished") }
func (h *History) Since(version uint64) ([]Change, bool)    { panic("unfinished") }
func (h *History) Log(most int) []Change                    { panic("unfinished") }
func (h *History) Find(id uint64) (version uint64, ok bool) { panic("unfinished") }

type Voter struct{}

func Bootstrap(voters []uint64) *Stored                             { panic("unfinished") }
func (s *Stored) Keep(p *Persist)                                   { panic("unfinished") }
func NewVoter(t VoterTerms, s *Stored, now float64) (*Voter, error) { panic("unfinished") }
func (v *Voter) Tick(now float64)                                   { panic("unfinished") }
func (v *Voter) Message(now float64, from uint64, data []byte)      { panic("unfinished") }
func (v *Voter) Propose(now float64, id uint64, p Proposal)         { panic("unfinished") }
func (v *Voter) Next() (VoterOutput, bool)                          { panic("unfinished") }
func (v *Voter) History() *History                                  { panic("unfinished") }
func (v *Voter) Leader() uint64                                     { panic("unfinished") }
func (v *Voter) Leads() bool                                        { panic("unfinished") }
func (v *Voter) FreshAt() float64                                   { panic("unfinished") }

type Server struct{}

func NewServer(t ServerTerms, now float64) *Server                  { panic("unfinished") }
func (s *Server) Set(now float64, h *History, freshAt float64)      { panic("unfinished") }
func (s *Server) Join(now float64, conn uint64, name string)        { panic("unfinished") }
func (s *Server) Frame(now float64, conn uint64, data []byte) error { panic("unfinished") }
func (s *Server) Leave(now float64, conn uint64)                    { panic("unfinished") }
func (s *Server) Sent(now float64, conn uint64, bytes int)          { panic("unfinished") }
func (s *Server) Tick(now float64)                                  { panic("unfinished") }
func (s *Server) Next() (ServerOutput, bool)                        { panic("unfinished") }
func (s *Server) Leases(now float64) []Lease                        { panic("unfinished") }

type Follower struct{}

func NewFollower(t FollowerTerms, held Copy, now float64) *Follower { panic("unfinished") }
func (f *Follower) Tick(now float64)                                { panic("unfinished") }
func (f *Follower) Connected(now float64, member int)               { panic("unfinished") }
func (f *Follower) Lost(now float64)                                { panic("unfinished") }
func (f *Follower) Frame(now float64, data []byte)                  { panic("unfinished") }
func (f *Follower) InForce(now float64, version uint64)             { panic("unfinished") }
func (f *Follower) Refused(now float64, version uint64, why string) { panic("unfinished") }
func (f *Follower) Next() (FollowerOutput, bool)                    { panic("unfinished") }
func (f *Follower) State(now float64) FollowerState                 { panic("unfinished") }
func (f *Follower) History() *History                               { panic("unfinished") }
func (f *Follower) FreshAt() float64                                { panic("unfinished") }
