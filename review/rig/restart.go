package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// waitAtRestart: half of the backends hang, clients retry at once at another node, with their keys, and that node is told to end. Each
// request that it has taken is owed its one final answer.
func waitAtRestart(r *rig) error {
	d, err := newDeployment(r, 4, 150*time.Millisecond)
	if err != nil {
		return err
	}
	if err := d.startWithPeers(himalClasses, "fee-payment"); err != nil {
		return err
	}
	for _, b := range d.backends[:2] {
		b.setHanging()
	}
	const payments = 12
	answers := make([]answer, payments)
	var clients, firstTries sync.WaitGroup
	firstTries.Add(payments)
	for i := range payments {
		clients.Go(func() {
			q := request{id: fmt.Sprintf("a%015d", i), key: fmt.Sprintf("pay-%d", i), ttl: 4 * time.Second, body: "pay"}
			first := q
			first.leaves = 300 * time.Millisecond
			answers[i] = send(r, d.nodes[0], first)
			firstTries.Done()
			if answers[i].err == nil {
				return
			}
			q.id, q.isRetry = fmt.Sprintf("b%015d", i), true
			answers[i] = send(r, d.nodes[1], q)
		})
	}
	firstTries.Wait()
	time.Sleep(50 * time.Millisecond)
	var told time.Time
	if r.trouble {
		told = time.Now()
		r.note("SIGTERM to n2")
		d.nodes[1].process.signal(syscall.SIGTERM)
		// The platform kills it no sooner than the longest deadline, of which 3 s count, and 0.7 s more.
		go func() {
			select {
			case <-d.nodes[1].process.done:
				r.note("n2 has ended %.2f s after SIGTERM: %s", time.Since(told).Seconds(), d.nodes[1].process.state)
			case <-time.After(3800 * time.Millisecond):
				r.note("SIGKILL to n2")
				d.nodes[1].process.signal(syscall.SIGKILL)
			}
		}()
	}
	clients.Wait()
	time.Sleep(200 * time.Millisecond)
	for i, got := range answers {
		if got.err != nil {
			r.breaks("lost: the request with key pay-%d, which n2 had taken, has no final answer: %v", i, got.err)
		}
	}
	return nil
}
