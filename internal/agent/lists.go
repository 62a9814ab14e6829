package agent

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"pearknot/internal/discovery"
	"pearknot/internal/fleet"
)

// maxListBytes bounds what is read of an endpoint list: some ten thousand backends.
const maxListBytes = 4 << 20

// checkLists reads the declared sources of endpoint lists, so that each instance's list can be compared with its source.
func (a *Agent) checkLists() {
	sources := map[string]bool{}
	for _, i := range a.fleet.Current().Set {
		if i.Desired == fleet.Running && i.Discovery != "" {
			sources[i.Discovery] = true
		}
	}
	for source := range sources {
		a.probes.Add(1)
		go func() {
			defer a.probes.Done()
			w, err := readSourceDigest(source, a.options.CallTimeout)
			w.ReadAt = a.now()
			a.mailbox.Put(func() {
				if err != nil { // no witness is no verdict
					a.log.Debug("endpoint list read failed", "source", source, "error", err)
				}
				a.fleet.SourceRead(source, w)
			})
		}()
	}
}

// readSourceDigest reads a complete endpoint list from its source.
func readSourceDigest(source string, within time.Duration) (w fleet.SourceDigest, err error) {
	c := http.Client{Timeout: within, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: (&net.Dialer{Timeout: within}).DialContext}}
	answer, err := c.Get("http://" + source + "/catalog/members")
	if err != nil {
		return w, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return w, errors.New(answer.Status)
	}
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxListBytes))
	if err != nil {
		return w, err
	}
	w.Version, w.Digest, err = discovery.ReadDigest(data)
	return w, err
}
