package upstream

import (
	"slices"
	"time"
)

// HTTP/1.1 has nothing that ties a response to its request: bytes that a backend sends after a response, without having been asked, are read
// as the response to the next request on that connection. Some backends send a second response a while after the first. A
// connection is therefore reused only after it has been quiet for a time that follows from what its backend has shown.

const (
	// minReuseIdle is the minimum time for which a connection to a trusted backend must be idle before it is reused. Some backends
	// close the connection right after a response, or send surplus bytes after it, and between machines that arrives a little later.
	// On a connection reused sooner, the next request would be lost with the close, or get those bytes as its response.
	minReuseIdle = 10 * time.Millisecond

	// unknownReuseIdle is that time until enough connections have been quiet for as long, and distrustedReuseIdle that for a backend that
	// has sent surplus bytes.
	unknownReuseIdle    = 150 * time.Millisecond
	distrustedReuseIdle = 400 * time.Millisecond

	// DefaultTrustAfter is the usual value of Config.TrustAfter. Of backends that send one surplus response in ten, one node in 200 would
	// trust them at first.
	DefaultTrustAfter = 50

	// distrustTime is the minimum time for which a backend is not trusted after it has sent surplus bytes.
	distrustTime = time.Minute
)

// trust is what a backend has shown about surplus bytes. All backends of a node are trusted once enough connections have been quiet after a
// response. A backend that sends surplus bytes is not trusted until as many of its own connections have been quiet since, and for
// distrustTime at least; the count of the node begins anew.
type trust struct {
	distrustedUntil  time.Time
	quietConnsNeeded int64 // of this backend, since the surplus bytes
}

func (t *trust) isDistrusted() bool {
	return t.quietConnsNeeded > 0 || time.Now().Before(t.distrustedUntil)
}

func (t *trust) isTrusted(config *Config) bool {
	return !t.isDistrusted() && config.quietConns.Load() >= config.TrustAfter
}

// reuseIdle returns how long a connection must be idle before it is reused.
func (t *trust) reuseIdle(config *Config) time.Duration {
	switch {
	case t.isDistrusted():
		return distrustedReuseIdle
	case t.isTrusted(config):
		return minReuseIdle
	}
	return unknownReuseIdle
}

// record takes in what a connection has shown while it was idle.
func (t *trust) record(config *Config, state idleState, idle time.Duration) {
	switch {
	case state == idleSurplus:
		t.recordSurplus(config)
	case state == idleEnded:
		t.recordQuiet(config)
	case t.isDistrusted() && idle >= distrustedReuseIdle:
		t.recordQuiet(config)
	case !t.isDistrusted() && idle >= unknownReuseIdle:
		t.recordQuiet(config)
	}
}

func (t *trust) recordSurplus(config *Config) {
	config.hasSurplus.Store(true)
	if !t.isDistrusted() {
		config.quietConns.Store(0)
	}
	t.distrustedUntil = time.Now().Add(distrustTime)
	t.quietConnsNeeded = config.TrustAfter
}

func (t *trust) recordQuiet(config *Config) {
	if t.isDistrusted() {
		t.quietConnsNeeded = max(t.quietConnsNeeded-1, 0)
		return
	}
	config.quietConns.Add(1)
}

// HandoffQuietConns returns the number of quiet connections to begin with in a process that takes over from this one. It is 0 if a backend has
// sent surplus bytes: which one is not handed over.
func (c *Config) HandoffQuietConns() int64 {
	if c.hasSurplus.Load() {
		return 0
	}
	return c.quietConns.Load()
}

// RestoreQuietConns makes the count begin with that of the process from which this one takes over.
func (c *Config) RestoreQuietConns(count int64) { c.quietConns.Store(count) }

// watchIdle looks at a connection that has become idle once it has been so for long enough to be reused. A connection that is not
// needed any more shows as much about its backend as one that is reused.
func (b *Backend) watchIdle(c *conn) {
	idleSince := c.idleSince
	time.AfterFunc(b.trust.reuseIdle(b.config), func() {
		b.mailbox.Put(func() { b.checkIdle(c, idleSince) })
	})
}

// checkIdle records what the connection has shown, and closes it unless it was quiet. It does nothing if the connection was used or
// closed after idleSince.
func (b *Backend) checkIdle(c *conn, idleSince time.Time) {
	index := slices.Index(b.idle, c)
	if index < 0 || !c.idleSince.Equal(idleSince) {
		return
	}
	state := c.idleState()
	b.recordIdle(c, state)
	if state != idleQuiet {
		b.idle = slices.Delete(b.idle, index, index+1)
		b.closeConn(c)
	}
}

// recordIdle records what the connection has shown since it is idle, unless that was recorded before.
func (b *Backend) recordIdle(c *conn, state idleState) {
	if c.idleRecorded && state == idleQuiet {
		return
	}
	c.idleRecorded = true
	b.trust.record(b.config, state, time.Since(c.idleSince))
}
