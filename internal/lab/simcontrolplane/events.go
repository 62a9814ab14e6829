package simcontrolplane

// after schedules work some ms from now.
func (c *Cluster) after(ms float64, do func()) { c.events.Schedule(c.now+ms, do) }
