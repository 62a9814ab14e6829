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

// maxListBytes bounds the bytes that are read of an endpoint list. It fits some ten thousand backends.
const maxListBytes = 4 << 20

// checkLists reads the declared sources of endpoint lists, so that each instance's list can be compared with its
// source.
func (a *Agent) checkLists() {
	sources := map[string]bool{}
	for _, instance := range a.fleet.Current().Set {
		if instance.Desired == fleet.Running && instance.Discovery != "" {
			sources[instance.Discovery] = true
		}
	}
	for source := range sources {
		a.probes.Add(1)
		go func() {
			defer a.probes.Done()
			digest, err := readSourceDigest(source, a.options.CallTimeout)
			digest.ReadAt = a.now()
			a.mailbox.Put(func() {
				if err != nil { // without the list from its source there is nothing to compare
					a.log.Debug("endpoint list read failed", "source", source, "error", err)
				}
				a.fleet.ObserveSource(source, digest)
			})
		}()
	}
}

// readSourceDigest reads a complete endpoint list from its source.
func readSourceDigest(source string, timeout time.Duration) (digest fleet.SourceDigest, err error) {
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: (&net.Dialer{Timeout: timeout}).DialContext}}
	response, err := client.Get("http://" + source + "/catalog/members")
	if err != nil {
		return digest, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return digest, errors.New(response.Status)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return digest, err
	}
	digest.Version, digest.Digest, err = discovery.ReadDigest(data)
	return digest, err
}
