package faultproxy

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	// chunkBytes is how much is forwarded at a time, and maxQueuedChunks how many chunks a direction of a connection queues before
	// it reads no further: thousands of connections through one process have a queue each.
	chunkBytes      = 4 << 10
	maxQueuedChunks = 512

	// slicesPerSecond is into how many parts a limited rate divides a second's bytes, so that a chunk doesn't arrive all at once at
	// the end of its time.
	slicesPerSecond = 10
)

// connection is one connection through the proxy.
type connection struct {
	proxy *Proxy
	ended chan struct{} // closed when either end has hung up
}

// forwardBetween forwards in both directions until either end hangs up. Then both ends are closed at once, whatever is still queued.
func (c *connection) forwardBetween(client, target net.Conn) {
	end := sync.OnceFunc(func() { close(c.ended) })
	var wg sync.WaitGroup
	for _, f := range []*forwarder{
		{connection: c, direction: ToTarget, from: client, to: target},
		{connection: c, direction: FromTarget, from: target, to: client},
	} {
		wg.Go(func() {
			f.run()
			end()
			_ = client.Close()
			_ = target.Close()
		})
	}
	wg.Wait()
}

// waitUntilPassable waits until no fault stalls a direction, and returns the fault that is set then. It returns false if the
// connection ends meanwhile.
func (c *connection) waitUntilPassable(direction Direction) (Fault, bool) {
	for {
		fault, changed := c.proxy.currentFault()
		if !fault.stalls(direction) {
			return fault, true
		}
		select {
		case <-changed:
		case <-c.ended:
			return fault, false
		}
	}
}

// sleep returns false if the connection ends meanwhile.
func (c *connection) sleep(duration time.Duration) bool {
	if duration <= 0 {
		return true
	}
	select {
	case <-time.After(duration):
		return true
	case <-c.ended:
		return false
	}
}

// chunk is data on its way.
type chunk struct {
	data  []byte
	dueAt time.Time // not to be forwarded before
}

// forwarder forwards one direction of a connection. It reads ahead, so that a delay doesn't limit the rate.
type forwarder struct {
	*connection
	direction Direction
	from, to  net.Conn

	queue   chan chunk
	written int // bytes so far; of the writing goroutine
}

// run forwards until the connection ends or is reset.
func (f *forwarder) run() {
	f.queue = make(chan chunk, maxQueuedChunks)
	writerEnded := make(chan struct{})
	go func() {
		defer close(writerEnded)
		f.writeQueue()
	}()
	f.readIntoQueue(writerEnded)
	close(f.queue)
	<-writerEnded
}

func (f *forwarder) readIntoQueue(writerEnded <-chan struct{}) {
	for {
		data := make([]byte, chunkBytes)
		n, err := f.from.Read(data)
		if n > 0 {
			fault, _ := f.proxy.currentFault()
			select {
			case f.queue <- chunk{data: data[:n], dueAt: time.Now().Add(fault.drawDelay())}:
			case <-writerEnded:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// drawDelay returns the delay of the next chunk.
func (f *Fault) drawDelay() time.Duration {
	if f.DelayedShare != 0 && rand.Float64() >= f.DelayedShare {
		return 0
	}
	delay := f.Delay
	if f.Jitter > 0 {
		delay += rand.N(f.Jitter)
	}
	return delay
}

func (f *forwarder) writeQueue() {
	for next := range f.queue {
		fault, ok := f.waitUntilPassable(f.direction)
		if !ok || !f.sleep(time.Until(next.dueAt)) || !f.writeChunk(next.data, &fault) {
			return
		}
	}
}

// writeChunk writes a chunk at the fault's rate, and resets the connection where the fault says so. It returns false if the
// connection has ended.
func (f *forwarder) writeChunk(data []byte, fault *Fault) bool {
	if fault.BytesPerSecond > 0 {
		sliceBytes := max(fault.BytesPerSecond/slicesPerSecond, 1)
		for len(data) > sliceBytes {
			if !f.sleep(transmissionTime(sliceBytes, fault)) {
				return false
			}
			if f.reachesReset(sliceBytes, fault) {
				break
			}
			if !f.write(data[:sliceBytes]) {
				return false
			}
			data = data[sliceBytes:]
		}
		if !f.sleep(transmissionTime(len(data), fault)) {
			return false
		}
	}
	if !f.reachesReset(len(data), fault) {
		return f.write(data)
	}
	if f.write(data[:max(fault.ResetAfterBytes-f.written, 0)]) {
		reset(f.to)
		reset(f.from)
	}
	return false
}

// transmissionTime returns how long so many bytes take at the fault's rate.
func transmissionTime(bytes int, fault *Fault) time.Duration {
	return time.Duration(bytes) * time.Second / time.Duration(fault.BytesPerSecond)
}

// reachesReset reports whether the connection must be reset in the course of the next so many bytes.
func (f *forwarder) reachesReset(bytes int, fault *Fault) bool {
	return fault.ResetAfterBytes > 0 && f.written+bytes >= fault.ResetAfterBytes
}

// write reports whether all of the data was written.
func (f *forwarder) write(data []byte) bool {
	if _, err := f.to.Write(data); err != nil {
		return false
	}
	f.written += len(data)
	f.proxy.countForwarded(len(data))
	return true
}
