package capture

import (
	"encoding/binary"
	"encoding/json"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"pearknot/balancer"
	"pearknot/internal/snapshot"
)

// Batch holds the encoded records of one batch: the inputs that the host passed on together, and the decisions
// that followed.
type Batch struct {
	Records     int
	Data        []byte // framed records
	HasSnapshot bool   // Data holds a snapshot, so a replay may begin in this batch
}

// Options configure a Recorder.
type Options struct {
	// SnapshotIntervalMs is the minimum time between snapshots; 0 takes none after the first.
	SnapshotIntervalMs float64
	// HashKey is the key that request IDs are hashed with; empty stores the IDs as they are. All nodes of a fleet
	// need the same key, so that a request can be found in the captures of several.
	HashKey []byte
	// Sink receives each batch. It must neither block nor retain the bytes.
	Sink func(Batch)
}

// Recorder is a balancer.Decider that passes every input on to another decider, every decision back to the host,
// and a record of each to a sink. A batch's records go to the sink together, once the host finds no decision left.
type Recorder struct {
	inner        balancer.Decider
	options      Options
	startInfo    StartInfo
	startJSON    []byte  // startInfo as JSON
	nextSnapshot float64 // when the next snapshot is due
	hasSnapshot  bool    // the current batch has a snapshot
	now          float64
	requests     map[*balancer.Request]uint64
	backends     map[*balancer.Backend]uint64
	lastRequest  uint64
	lastBackend  uint64
	batch        []byte
	batchRecords int
}

// NewRecorder begins a capture of a decider that was created at now.
func NewRecorder(inner balancer.Decider, now float64, start StartInfo, options Options) (*Recorder, error) {
	data, err := json.Marshal(start)
	if err != nil {
		return nil, err
	}
	recorder := &Recorder{
		inner:     inner,
		options:   options,
		startInfo: start,
		startJSON: data,
		requests:  map[*balancer.Request]uint64{},
		backends:  map[*balancer.Backend]uint64{},
	}
	recorder.record(&Record{Kind: Begin, Now: now, Data: data})
	recorder.recordSnapshot() // what an earlier decider learned is in the state, not in the configuration
	return recorder, nil
}

// recordSnapshot records the decider's state, if the decider supports snapshots.
func (r *Recorder) recordSnapshot() {
	snapshotter, ok := r.inner.(interface {
		Snapshot(requests []*balancer.Request, backends []*balancer.Backend) (*balancer.Snapshot, error)
	})
	if !ok {
		return
	}
	requests, backends := sortedByNumber(r.requests), sortedByNumber(r.backends)
	state, err := snapshotter.Snapshot(requests, backends)
	if err != nil { // in the middle of a batch: a later call takes the snapshot
		return
	}
	for i := range state.Requests { // the decider itself keeps the original IDs
		state.Requests[i].ID = r.hashID(state.Requests[i].ID)
	}
	record := Record{Kind: Snapshot, Now: r.now, Data: r.startJSON, State: snapshot.Encode(state)}
	for _, request := range requests {
		record.Requests = append(record.Requests, r.requests[request])
	}
	for _, backend := range backends {
		record.Backends = append(record.Backends, r.backends[backend])
	}
	r.record(&record)
	r.nextSnapshot, r.hasSnapshot = r.now+r.options.SnapshotIntervalMs, true
}

// sortedByNumber returns the keys of a map in the order of their numbers.
func sortedByNumber[T comparable](numbers map[T]uint64) []T {
	return slices.SortedFunc(maps.Keys(numbers), func(a, b T) int {
		if numbers[a] < numbers[b] {
			return -1
		}
		return 1
	})
}

// hashID returns the hash of a request's ID with Options.HashKey, for hosts whose IDs are confidential, or the ID
// itself without a key. A hash is never 0, which means no ID.
func (r *Recorder) hashID(id uint64) uint64 {
	if len(r.options.HashKey) == 0 || id == 0 {
		return id
	}
	hash := xxhash.New()
	_, _ = hash.Write(r.options.HashKey)
	_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, id))
	return max(hash.Sum64(), 1)
}

// record adds a record to the current batch.
func (r *Recorder) record(record *Record) {
	r.now = record.Now
	start := len(r.batch)
	r.batch = record.Append(append(r.batch, emptyRecordHeader[:]...))
	fillRecordHeader(r.batch[start:])
	r.batchRecords++
}

// flush hands the current batch to the sink.
func (r *Recorder) flush() {
	if r.batchRecords > 0 {
		r.options.Sink(Batch{r.batchRecords, r.batch, r.hasSnapshot})
		r.batch, r.batchRecords, r.hasSnapshot = r.batch[:0], 0, false
	}
}

// backendNumber returns a backend's number, and assigns the next one at the backend's first use.
func (r *Recorder) backendNumber(backend *balancer.Backend) uint64 {
	number, known := r.backends[backend]
	if !known {
		r.lastBackend++
		number = r.lastBackend
		r.backends[backend] = number
	}
	return number
}

// EndpointsChanged implements balancer.Decider.
func (r *Recorder) EndpointsChanged(now float64, endpoints []balancer.Endpoint, full, cached bool) {
	record := Record{Kind: EndpointsChanged, Now: now}
	if full {
		record.Flags |= flagFull
	}
	if cached {
		record.Flags |= flagCached
	}
	for _, endpoint := range endpoints {
		record.Endpoints = append(record.Endpoints, Endpoint{
			Backend:  r.backendNumber(endpoint.Backend),
			ID:       endpoint.Backend.ID,
			State:    endpoint.State,
			Zone:     endpoint.Zone,
			Cell:     endpoint.Cell,
			Kind:     endpoint.Kind,
			Weight:   endpoint.Weight,
			Started:  endpoint.Started,
			Cordoned: endpoint.Cordoned,
		})
	}
	r.record(&record)
	r.inner.EndpointsChanged(now, endpoints, full, cached)
}

// PollFailed implements balancer.Decider.
func (r *Recorder) PollFailed(now float64) {
	r.record(&Record{Kind: PollFailed, Now: now})
	r.inner.PollFailed(now)
}

// RequestArrived implements balancer.Decider. Attempts that another node began before it are recorded first.
func (r *Recorder) RequestArrived(now float64, request *balancer.Request) {
	r.lastRequest++
	r.requests[request] = r.lastRequest
	for _, attempt := range request.Attempts {
		r.recordEarlierAttempt(now, attempt)
	}
	record := Record{
		Kind:     RequestArrived,
		Now:      now,
		Request:  r.lastRequest,
		ID:       r.hashID(request.ID),
		Class:    request.Class,
		Tenant:   request.Tenant,
		CostHint: request.CostHint,
		Deadline: request.Deadline,
		Key:      request.Key,
	}
	if request.HasCostHint {
		record.Flags |= flagCostHint
	}
	if request.IsClientRetry {
		record.Flags |= flagClientRetry
	}
	if request.Streamed {
		record.Flags |= flagStreamed
	}
	if request.Config != nil && request.Config != r.startInfo.Config {
		record.Flags |= flagPreviousConfig
	}
	r.record(&record)
	r.inner.RequestArrived(now, request)
}

// recordEarlierAttempt records an attempt that another node began for the request that arrives.
func (r *Recorder) recordEarlierAttempt(now float64, attempt *balancer.Attempt) {
	backend := attempt.Backend
	endpoint := Endpoint{Backend: r.backendNumber(backend), ID: backend.ID, Zone: backend.Zone, Cell: backend.Cell}
	r.record(&Record{
		Kind:      EarlierAttempt,
		Now:       now,
		Request:   r.lastRequest,
		Value:     attempt.SentAt,
		Outcome:   attempt.Outcome(),
		Endpoints: []Endpoint{endpoint},
	})
}

// RequestAbandoned implements balancer.Decider.
func (r *Recorder) RequestAbandoned(now float64, request *balancer.Request) {
	r.record(&Record{Kind: RequestAbandoned, Now: now, Request: r.requests[request]})
	r.inner.RequestAbandoned(now, request)
	r.forgetIfDone(request)
}

// DeadlineShortened implements balancer.Decider; the record has the request's new deadline.
func (r *Recorder) DeadlineShortened(now float64, request *balancer.Request) {
	r.record(&Record{Kind: DeadlineShortened, Now: now, Request: r.requests[request], Value: request.Deadline})
	r.inner.DeadlineShortened(now, request)
}

// ResponseStarted implements balancer.Decider.
func (r *Recorder) ResponseStarted(now float64, attempt *balancer.Attempt) {
	r.record(&Record{Kind: ResponseStarted, Now: now, Request: r.requests[attempt.Request], Attempt: attempt.Number})
	r.inner.ResponseStarted(now, attempt)
}

// RequestBodySent implements balancer.Decider; the record has the request's deadline at that moment.
func (r *Recorder) RequestBodySent(now float64, attempt *balancer.Attempt) {
	r.record(&Record{
		Kind:    RequestBodySent,
		Now:     now,
		Request: r.requests[attempt.Request],
		Attempt: attempt.Number,
		Value:   attempt.Request.Deadline,
	})
	r.inner.RequestBodySent(now, attempt)
}

// AttemptEnded implements balancer.Decider.
func (r *Recorder) AttemptEnded(
	now float64, attempt *balancer.Attempt, outcome balancer.Outcome, elapsed float64, finished bool,
) {
	record := Record{
		Kind:    AttemptEnded,
		Now:     now,
		Request: r.requests[attempt.Request],
		Attempt: attempt.Number,
		Outcome: outcome,
		Value:   elapsed,
	}
	if finished {
		record.Flags |= flagFinished
	}
	r.record(&record)
	r.inner.AttemptEnded(now, attempt, outcome, elapsed, finished)
	r.forgetIfDone(attempt.Request)
}

// LoadReported implements balancer.Decider.
func (r *Recorder) LoadReported(now float64, backend *balancer.Backend, load balancer.LoadReport) {
	r.record(&Record{Kind: LoadReported, Now: now, Backend: r.backends[backend], Load: load})
	r.inner.LoadReported(now, backend, load)
}

// ProcessesChanged implements balancer.Decider.
func (r *Recorder) ProcessesChanged(now float64, count int) {
	r.record(&Record{Kind: ProcessesChanged, Now: now, Count: uint64(count)})
	r.inner.ProcessesChanged(now, count)
}

// ConfigChanged implements balancer.Decider.
func (r *Recorder) ConfigChanged(now float64, config *balancer.Config, formerIndexes []int) {
	start := r.startInfo
	start.Config = config
	if data, err := json.Marshal(start); err == nil { // does not fail: the first configuration was encoded too
		r.startJSON, r.startInfo = data, start
	}
	record := Record{Kind: ConfigChanged, Now: now, Data: r.startJSON}
	for _, index := range formerIndexes { // -1 for a new class, which is stored as 0
		record.Requests = append(record.Requests, uint64(index+1))
	}
	r.record(&record)
	r.inner.ConfigChanged(now, config, formerIndexes)
}

// TimerFired implements balancer.Decider.
func (r *Recorder) TimerFired(now float64) {
	r.record(&Record{Kind: TimerFired, Now: now})
	r.inner.TimerFired(now)
}

// Next implements balancer.Decider. When no decision is left it hands the batch to the sink.
func (r *Recorder) Next() (balancer.Decision, bool) {
	decision, more := r.inner.Next()
	if !more {
		r.record(&Record{Kind: BatchEnd, Now: r.now})
		if r.options.SnapshotIntervalMs > 0 && r.now >= r.nextSnapshot {
			r.recordSnapshot()
		}
		r.flush()
		return decision, more
	}
	record := decisionRecord(decision, r.requests, r.backends)
	record.Now = r.now
	r.record(&record)
	if decision.Kind == balancer.DoReject || decision.Kind == balancer.DoFail {
		r.forgetIfDone(decision.Request)
	}
	return decision, more
}

// BackendForgotten records that the host has released a backend. If the backend is listed again, it is a new one to
// the decider as well.
func (r *Recorder) BackendForgotten(backend *balancer.Backend) {
	r.record(&Record{Kind: BackendForgotten, Now: r.now, Backend: r.backends[backend]})
	delete(r.backends, backend)
}

// forgetIfDone releases a request that has ended: its later events do not reach the decider either.
func (r *Recorder) forgetIfDone(request *balancer.Request) {
	if request.IsDone() {
		delete(r.requests, request)
	}
}

// decisionRecord returns a decision as a record, with the numbers that the capture gave to requests and backends.
func decisionRecord(
	decision balancer.Decision, requests map[*balancer.Request]uint64, backends map[*balancer.Backend]uint64,
) Record {
	record := Record{
		Kind:     Decided,
		Decision: decision.Kind,
		Value:    decision.Wait,
		Data:     []byte(storedEventText(decision.Event)),
	}
	if decision.Request != nil {
		record.Request = requests[decision.Request]
	}
	if decision.Attempt != nil {
		record.Attempt = decision.Attempt.Number
		record.Backend = backends[decision.Attempt.Backend]
	}
	return record
}
