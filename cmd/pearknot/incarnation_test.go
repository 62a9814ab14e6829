package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// backendIncarnation is a process of a backend at an address. Others may follow it there.
type backendIncarnation struct {
	listener net.Listener
	attempts atomic.Int64
	release  chan struct{} // closed when the answers to /hold may be given
	isGone   atomic.Bool   // its connections stay open, and nothing comes on them any more
}

func startIncarnation(t *testing.T, address string) *backendIncarnation {
	b := &backendIncarnation{release: make(chan struct{})}
	var err error
	b.listener, err = net.Listen("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = b.listener.Close() })
	go func() {
		for {
			conn, err := b.listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go b.serve(conn)
		}
	}()
	return b
}

func (b *backendIncarnation) serve(conn net.Conn) {
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		b.attempts.Add(1)
		if request.URL.Path == "/hold" {
			<-b.release
		} else if b.isGone.Load() {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
	}
}

// A backend's process vanishes and says nothing, so that connections to it stay open, and another one comes up at its address: with the
// same name and a later start, or with another name. Once the endpoint list says so, requests go to the new process, on new
// connections, also if a connection to the old one was in use meanwhile.
func TestNewProcessAtAddressIsNotTakenForTheOldOne(t *testing.T) {
	removalIsHint := strings.Replace(settings, `"rules":{`, `"rules":{"removalNotBinding":true,`, 1)
	for _, isInUse := range []bool{false, true} {
		for name, form := range map[string]struct{ newName, settings string }{
			"the same name":                    {"s-1", settings},
			"another name":                     {"s-2", settings},
			"the same name, removal is a hint": {"s-1", removalIsHint},
			"another name, removal is a hint":  {"s-2", removalIsHint},
		} {
			newName := form.newName
			t.Run(fmt.Sprintf("in use %v, %s", isInUse, name), func(t *testing.T) {
				old := startIncarnation(t, "127.0.0.1:0")
				address := old.listener.Addr().String()
				entry := endpointEntry(address, "up")
				list := newFaultyDiscovery(t, entry)
				_, nodeAddress, stderr := launch(t, "serve", "-config", writeConfig(t, list, 64, 256, entry, form.settings))
				log := followLog(t, stderr)
				node := &testNode{t: t, address: nodeAddress}
				node.sendUntilServed(newClient(), "first")
				held := make(chan int, 1)
				if isInUse {
					go func() { held <- sendHeld(node) }()
					require.Eventually(t, func() bool { return old.attempts.Load() == 2 }, 5*time.Second, time.Millisecond)
				}
				require.NoError(t, old.listener.Close())
				old.isGone.Store(true)
				fresh := startIncarnation(t, address)
				now := fmt.Sprintf(`"boot_ms":%d`, time.Now().UnixMilli())
				added := strings.NewReplacer("s-1", newName, `"boot_ms":0`, now).Replace(entry)
				changes := added
				if newName != "s-1" {
					changes = strings.Replace(entry, `"up"`, `"removed"`, 1) + "," + added
				}
				list.publish(changes, added)
				require.Eventually(t, func() bool { return !list.firstSeenWith(42).IsZero() }, 10*time.Second, time.Millisecond)
				if isInUse {
					close(old.release)
					assert.Equal(t, http.StatusOK, <-held, "what the old process answers is an answer")
				}
				before := old.attempts.Load()
				for k := range 3 {
					time.Sleep(50 * time.Millisecond)
					status, _, _, err := node.send(newClient(), "POST", fmt.Sprint("after-", k), "pay", "1500")
					assert.NoError(t, err)
					assert.Equal(t, http.StatusOK, status)
				}
				assert.Equal(t, before, old.attempts.Load(), "attempts at the process that has gone")
				assert.Equal(t, int64(3), fresh.attempts.Load())
				assert.False(t, log.hasEnded())
			})
		}
	}
}

// sendHeld sends a request whose answer is held, and returns its status.
func sendHeld(node *testNode) int {
	request, _ := http.NewRequest("GET", "http://"+node.address+"/hold", nil)
	request.Header = http.Header{"X-Trace-Id": {"held"}, "X-Qos": {"check"}, "X-Expires-In-Ms": {"4000"}}
	response, err := newClient().Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}
