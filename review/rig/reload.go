package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// keyAcrossReload: clients send payments slowly, all nodes get settings without another class meanwhile, and the clients lose
// their connections and ask again with their keys. No payment may run twice.
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
			q := request{id: fmt.Sprintf("a%015d", i), key: fmt.Sprintf("pay-%d", i), ttl: 4 * time.Second, body: strings.Repeat("x", 48<<10), rate: 64000}
			first := q
			first.leaves = 100 * time.Millisecond
			if got := send(r, d.nodes[0], first); got.err == nil {
				return // it has its answer
			}
			q.id, q.isRetry = fmt.Sprintf("b%015d", i), true
			send(r, d.nodes[1], q)
		})
	}
	time.Sleep(300 * time.Millisecond)
	if r.trouble {
		if err := d.reload(himalClasses[1:]); err != nil {
			return err
		}
	}
	clients.Wait()
	time.Sleep(time.Second)
	for i := range payments {
		if key := fmt.Sprintf("pay-%d", i); d.runsOf(key) > 1 {
			r.breaks("duplicate: %s, which must never run twice, ran %d times", key, d.runsOf(key))
		}
	}
	return nil
}
