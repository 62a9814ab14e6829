package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// waitAtRestart: some reports are costly, the connections of their clients to n1 are reset, the clients ask again with their keys at n2, and n2
// is told to end. Each request that it has taken is owed its one final answer.
func waitAtRestart(r *rig) error {
	d, err := newDeployment(r, 4, 200*time.Millisecond)
	if err != nil {
		return err
	}
	if err := d.startWithPeers(himalClasses, "class-report"); err != nil {
		return err
	}
	const usual, costlyReports = 100, 2
	var clients, firstTries sync.WaitGroup
	clients.Go(func() { // the others of the category, at the nodes that stay
		for i := range usual {
			to := d.nodes[2*(i%2)]
			clients.Go(func() {
				send(r, to, request{id: fmt.Sprintf("u%015d", i), key: fmt.Sprintf("usual-%d", i), class: "class-report", ttl: 6 * time.Second})
			})
			time.Sleep(30 * time.Millisecond)
		}
	})
	answers := make([]answer, costlyReports)
	firstTries.Add(costlyReports)
	for i := range costlyReports {
		clients.Go(func() {
			q := request{id: fmt.Sprintf("a%015d", i), key: fmt.Sprintf("%s%d", costly, i), class: "class-report", ttl: 6 * time.Second}
			first := q
			first.resetAfter = 300 * time.Millisecond
			answers[i] = send(r, d.nodes[0], first)
			firstTries.Done()
			q.id, q.isRetry, q.ttl = fmt.Sprintf("b%015d", i), true, q.ttl-first.resetAfter // the client's time is that of all its tries
			answers[i] = send(r, d.nodes[1], q)
		})
	}
	firstTries.Wait()
	time.Sleep(50 * time.Millisecond)
	if r.trouble {
		endNode(r, d.nodes[1])
	}
	clients.Wait()
	time.Sleep(200 * time.Millisecond)
	for i, got := range answers {
		if !got.taken {
			return fmt.Errorf("n2 has not taken %s%d: %w", costly, i, got.err)
		}
		if got.err != nil {
			r.breaks("lost: the request with key %s%d, which n2 had taken, has no final answer: %v", costly, i, got.err)
		}
	}
	return nil
}

// endNode tells a node to end. The platform kills it no sooner than the longest deadline, of which 3 s count, and 0.7 s more.
func endNode(r *rig, n *node) {
	told := time.Now()
	r.note("SIGTERM to %s", n.name)
	n.process.signal(syscall.SIGTERM)
	go func() {
		select {
		case <-n.process.done:
			r.note("%s has ended %.2f s after SIGTERM: %s", n.name, time.Since(told).Seconds(), n.process.state)
		case <-time.After(3800 * time.Millisecond):
			r.note("SIGKILL to %s", n.name)
			n.process.signal(syscall.SIGKILL)
		}
	}()
}
