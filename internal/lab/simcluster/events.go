package simcluster

// after schedules a function for a time from now, in ms.
func (c *Cluster) after(delay float64, do func()) { c.events.Schedule(c.now+delay, do) }

// processNextEvent moves the clock on to the earliest event and does it. The queue must not be empty.
func (c *Cluster) processNextEvent() {
	next := c.events.Take()
	c.now = next.At
	next.Handle()
}

// Advance processes all events of the next so many ms, and moves the clock to their end.
func (c *Cluster) Advance(duration float64) {
	end := c.now + duration
	for c.events.Len() > 0 && c.events.NextAt() <= end {
		c.processNextEvent()
	}
	c.now = end
}
