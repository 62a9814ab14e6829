package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	// longBytes is the size of a long answer.
	longBytes = 16 << 20
	// readRate is how many bytes a second a client reads of it.
	readRate = 1200 << 10
)

// streamAtUpgrade: clients read long answers slowly while a new version of their node takes over. What the backends still give must not be
// cut off.
func streamAtUpgrade(r *rig) error {
	d, err := newDeployment(r, 0, 0)
	if err != nil {
		return err
	}
	address, err := d.serve(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(longBytes))
		n, err := io.Copy(w, io.LimitReader(endless{}, longBytes))
		r.note("s-1: gave %d bytes of an answer: %v", n, err)
	})
	if err != nil {
		return err
	}
	d.list["targets"] = []object{{"uid": "s-1", "endpoint": address, "az": "a", "model": "m", "pod_group": 0, "state": "up", "capacity_hint": 1.0, "boot_ms": 0}}
	if err := d.addNodes(); err != nil {
		return err
	}
	for _, n := range d.nodes {
		if n.admin, err = freeAddress(n.host); err != nil {
			return err
		}
	}
	if err := d.startNodes(himalClasses); err != nil {
		return err
	}
	old := d.nodes[0]
	time.Sleep(untilSettled)
	const readers = 4
	failures := make([]error, readers)
	var clients sync.WaitGroup
	for i := range readers {
		clients.Go(func() { failures[i] = readLong(r, old, fmt.Sprintf("a%015d", i)) })
	}
	time.Sleep(time.Second)
	if r.trouble {
		next := *old
		next.config, next.control = filepath.Join(r.dir, "next.json"), filepath.Join(r.dir, "next.sock")
		if next.admin, err = freeAddress(old.host); err != nil {
			return err
		}
		if err := d.writeConfig(&next, settings(himalClasses)); err != nil {
			return err
		}
		if err := d.startNode(&next); err != nil {
			return err
		}
		if err := await("the new version's yes", 6*time.Second, func() bool {
			return exec.Command("bin/pearknot", "call", next.admin, "health").Run() == nil
		}); err != nil {
			return err
		}
		endNode(r, old)
	}
	clients.Wait()
	return errors.Join(failures...)
}

// endless gives bytes without end.
type endless struct{}

func (endless) Read(buffer []byte) (int, error) {
	return copy(buffer, strings.Repeat("x", 16<<10)), nil
}

// readLong asks for a long answer and reads it steadily. It returns an error if the answer did not begin: that is not what the case judges.
func readLong(r *rig, to *node, id string) error {
	conn, err := net.DialTimeout("tcp", to.address, time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	r.note("client: request %s to %s: sends", id, to.name)
	fmt.Fprintf(conn, "GET /api HTTP/1.1\r\nHost: service.internal\r\nX-Qos: class-report\r\nX-Trace-Id: %s\r\nX-Expires-In-Ms: 6000\r\n\r\n", id)
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, 4096), nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("request %s: status %d", id, response.StatusCode)
	}
	var total int64
	for err == nil {
		var n int64
		n, err = io.CopyN(io.Discard, response.Body, readRate/10)
		total += n
		time.Sleep(100 * time.Millisecond)
	}
	r.note("client: request %s: %d of %d bytes: %v", id, total, longBytes, err)
	if total < longBytes {
		r.breaks("lost: the answer to request %s was cut off after %d of %d bytes", id, total, longBytes)
	}
	return nil
}
