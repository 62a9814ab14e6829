package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// dialerFrom returns a dialer whose connections come from an address of 127.0.0.0/8.
func dialerFrom(address string) *net.Dialer {
	return &net.Dialer{Timeout: 2 * time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(address)}}
}

// floodKind describes abusive clients: their connections per second, their number of addresses, what each connection sends, and
// how long it stays open.
type floodKind struct {
	name      string
	rate      rate.Limit
	addresses int
	payload   string
	duration  time.Duration
}

// start opens connections until ctx ends, at most 400 at a time.
func (flood floodKind) start(ctx context.Context, to string) *sync.WaitGroup {
	var all sync.WaitGroup
	slots := make(chan struct{}, 400)
	pace := rate.NewLimiter(flood.rate, 10)
	all.Go(func() {
		for k := 0; pace.Wait(ctx) == nil; k++ {
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			all.Go(func() {
				defer func() { <-slots }()
				c, err := dialerFrom(fmt.Sprintf("127.0.%d.%d", 1+k%flood.addresses/200, 1+k%flood.addresses%200)).DialContext(ctx, "tcp", to)
				if err != nil {
					return
				}
				defer c.Close()
				_, _ = io.WriteString(c, flood.payload)
				_ = c.SetReadDeadline(time.Now().Add(flood.duration))
				stop := context.AfterFunc(ctx, func() { _ = c.SetReadDeadline(time.Now()) })
				defer stop()
				_, _ = io.Copy(io.Discard, io.LimitReader(c, 1<<16))
			})
		}
	})
	return &all
}

func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
