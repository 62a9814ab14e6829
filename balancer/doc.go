// Package balancer decides what a node does with its clients' requests: which backend receives an attempt, and which
// requests are queued, retried, rejected or failed.
//
// The package is pure: it does no I/O, starts no goroutines and reads no clock. A host, such as internal/node, starts a
// Balancer with a Config and reports what happens through the input methods (RequestArrived, AttemptEnded and so on).
// An input only updates the balancer's state. After each batch of inputs the host calls Next until it returns false, and
// carries out each decision that it returns. No two methods may be called concurrently.
//
// # Units
//
// Every time and duration is a float64 in ms on the host's clock, unless its comment names another unit. Constants that
// are durations end in Ms.
//
// # Terms
//
//   - attempt: one send of a request to a backend; a request may have several (a retry, or a hedge beside the first).
//   - work: the size of a request, as the ms that it would take alone on a standard core, which is the core that the
//     clients' cost hints refer to.
//   - pace: the ms that a backend needs for one unit of work. 1 is a standard core; a higher pace is a slower backend.
//   - completion rate: the work that a backend completes for this node in a ms.
//   - wait: the time in ms that an attempt spends behind other work at its backend.
//   - cutoff: a high quantile of the latest cost hints. A request whose hint lies above it is long, any other is short.
//   - rotation: the order in which backends take turns for short requests, in proportion to their rotation shares.
//   - estimate: the value by which queued requests are ordered, the smallest first.
//   - patience: the longest wait in ms behind other work for which a request is accepted and not rejected.
//   - fault: an event that indicates that a backend fails, such as an error or a time-out.
//   - suspicion: a backend's decaying count of faults. A backend is ejected while it lies at or above a threshold.
//   - poison request: a request that crashes the backend that runs it. It must not be sent to one backend after another.
//   - doubted endpoint list: a list that has removed so many backends that an error in it is more likely than their failure.
//   - near backend: one in the node's own zone, or any backend where crossing zones costs nothing.
//   - slot draw: a pseudo-random number for a backend and a time slot, hashed from the node's seed.
//   - uncertain attempt: an attempt that may have run, or may still run, at its backend.
//
// # The algorithm
//
// Without faults or overload the package follows CDA(c), Class Dependent Assignment with cutoff c, by Ungureanu,
// Melamed and Katehakis ("Performance Comparison of Size-based Scheduling Policies in Clustered Web Servers"). Short
// requests are sent at once, in rotation over the backends; a long request is sent only to an idle backend, and the
// rotation passes over that backend meanwhile, so that no short request waits behind a long one. Comments that speak of
// the paper mean this one. docs/design.md lists where the package departs from it, and why.
//
// Each rule has a file of its own, which begins with a description of the rule.
package balancer
