package upstream

import (
	"log/slog"
	"sync/atomic"
	"time"

	"pearknot/balancer"
	"pearknot/internal/descriptors"
	"pearknot/internal/memory"
)

// AtomicDuration is a duration that can be read and changed concurrently.
type AtomicDuration struct{ nanoseconds atomic.Int64 }

// Get returns the duration.
func (d *AtomicDuration) Get() time.Duration { return time.Duration(d.nanoseconds.Load()) }

// Set changes the duration.
func (d *AtomicDuration) Set(value time.Duration) { d.nanoseconds.Store(int64(value)) }

// Config holds the settings and resources that all backends of a node share.
type Config struct {
	ConnectTimeout AtomicDuration      // for establishing a connection
	IdleTimeout    AtomicDuration      // after which an idle connection is closed
	Budget         *descriptors.Budget // of file descriptors; each connection takes one
	Memory         *memory.Budget      // of bodies and buffers; nil has no limit
	Log            *slog.Logger

	// TrustAfter is the number of connections that must have been quiet after a response before connections are reused soon after
	// one; 0 trusts each backend until it sends surplus bytes.
	TrustAfter int64
	quietConns atomic.Int64 // that were quiet for as long as trust requires, since a backend has sent surplus bytes
	hasSurplus atomic.Bool  // a backend has sent surplus bytes

	// SetReportValue stores a value of a load report in the field for its name in the deployment's settings.
	SetReportValue func(report *balancer.LoadReport, name string, value float64)
}
