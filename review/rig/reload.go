package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// keyAcrossReload: clients send payments slowly to n1, and all nodes get settings without another class meanwhile. n1 is killed while it
// has the payments in hand, and the clients ask again with their keys at n2. No payment may run twice.
func keyAcrossReload(r *rig) error {
	d, err := newDeployment(r, 4, 400*time.Millisecond)
	if err != nil {
		return err
	}
	if err := d.startWithPeers(himalClasses, "fee-payment"); err != nil {
		return err
	}
	const payments = 6
	var clients sync.WaitGroup
	for i := range payments {
		clients.Go(func() {
			begun := time.Now()
			q := request{id: fmt.Sprintf("a%015d", i), key: fmt.Sprintf("pay-%d", i), ttl: 4 * time.Second, body: strings.Repeat("x", 48<<10), rate: 64000}
			if got := send(r, d.nodes[0], q); got.err == nil {
				return // it has its answer
			}
			q.id, q.isRetry, q.ttl = fmt.Sprintf("b%015d", i), true, q.ttl-time.Since(begun) // the client's time is that of all its tries
			send(r, d.nodes[1], q)
		})
	}
	time.Sleep(300 * time.Millisecond)
	if r.trouble {
		if err := d.reload(himalClasses[1:]); err != nil {
			return err
		}
	}
	if err := await("the payments at the backends", 3*time.Second, func() bool { return d.keys() == payments }); err != nil {
		return err
	}
	r.note("SIGKILL to n1")
	d.nodes[0].process.signal(syscall.SIGKILL)
	clients.Wait()
	time.Sleep(time.Second)
	for i := range payments {
		if key := fmt.Sprintf("pay-%d", i); d.runsOf(key) > 1 {
			r.breaks("duplicate: %s, which must never run twice, ran %d times", key, d.runsOf(key))
		}
	}
	return nil
}
