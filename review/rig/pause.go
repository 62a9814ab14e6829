package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// answerOfPause: clients ask n1 for reports, and n2 stands still for a moment while their answers come. Each report that is served has to
// be the one that the backend made.
func answerOfPause(r *rig) error {
	d, err := newDeployment(r, 8, 250*time.Millisecond)
	if err != nil {
		return err
	}
	d.longReports = true
	if err := d.startWithPeers(himalClasses, "fee-payment", "class-report"); err != nil {
		return err
	}
	const reports = 40
	answers := make([]answer, reports)
	var clients sync.WaitGroup
	clients.Go(func() {
		for i := range reports {
			clients.Go(func() {
				answers[i] = send(r, d.nodes[0], request{id: fmt.Sprintf("a%015d", i), key: fmt.Sprintf("report-%d", i), class: "class-report", ttl: 6 * time.Second})
			})
			time.Sleep(20 * time.Millisecond)
		}
	})
	time.Sleep(300 * time.Millisecond)
	if r.trouble {
		r.note("SIGSTOP to n2")
		d.nodes[1].process.signal(syscall.SIGSTOP)
	}
	time.Sleep(400 * time.Millisecond)
	if r.trouble {
		d.nodes[1].process.signal(syscall.SIGCONT)
		r.note("SIGCONT to n2")
	}
	clients.Wait()
	served := 0
	for i, got := range answers {
		if got.err == nil && got.status == 200 {
			served++
		}
		if want := report(fmt.Sprintf("report-%d", i)); got.err == nil && got.status == 200 && got.body != want {
			r.breaks("lost: report-%d was served with what no backend made for it: %d of %d bytes", i, len(got.body), len(want))
		}
	}
	if served == 0 {
		return errors.New("no report was served")
	}
	return nil
}
