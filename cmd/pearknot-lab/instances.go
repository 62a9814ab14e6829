package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"

	"github.com/spf13/cobra"
	"golang.org/x/sys/unix"

	"pearknot/internal/agent"
	"pearknot/internal/controlsocket"
	"pearknot/internal/serve"
)

// instancesCommand is a crowd of stand-in instances in one process: each holds its lock and answers on its control
// socket, as an agent expects of a node, and does nothing else. An agent whose state is lost adopts them.
func instancesCommand() *cobra.Command {
	dir, count := "", 2000
	c := &cobra.Command{Use: "instances --dir DIR", Short: "Stand-in instances in an agent's directory, until interrupted", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			for _, d := range []string{"run", "logs", "configs"} {
				if err := os.MkdirAll(filepath.Join(dir, d), 0o700); err != nil {
					return err
				}
			}
			for k := range count {
				end, err := standIn(dir, fmt.Sprintf("s%05d", k), k)
				if err != nil {
					return err
				}
				defer end()
			}
			fmt.Fprintf(c.OutOrStdout(), "%d stand-in instances in %s\n", count, dir)
			<-c.Context().Done()
			return nil
		}}
	c.Flags().StringVar(&dir, "dir", "", "the agent's directory")
	c.Flags().IntVar(&count, "count", count, "how many")
	_ = c.MarkFlagRequired("dir")
	return c
}

func standIn(dir, name string, k int) (end func(), err error) {
	lock, err := os.OpenFile(filepath.Join(dir, "run", name+".lock"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return nil, errors.Join(err, lock.Close())
	}
	token := fmt.Sprintf("stand-in-%d", k)
	held, err := json.Marshal(serve.LockHolder{PID: os.Getpid(), Token: token})
	if err != nil {
		return nil, err
	}
	if _, err := lock.WriteAt(held, 0); err != nil {
		return nil, err
	}
	l, err := controlsocket.Listen(filepath.Join(dir, "run", name+".sock"))
	if err != nil {
		return nil, errors.Join(err, lock.Close())
	}
	var out atomic.Bool
	s := controlsocket.NewServer(controlsocket.NewNodeHandler(controlsocket.NodeCalls{Status: func(context.Context) (controlsocket.Status, error) {
		return controlsocket.Status{Token: token, PID: os.Getpid(), Name: name, Listen: fmt.Sprintf("127.0.0.1:%d", 10000+k), Digest: agent.Digest(name),
			ListAddress: "127.0.0.1:1", Ready: true, InService: !out.Load()}, nil
	}, SetService: func(s controlsocket.Service) error {
		out.Store(!s.InService)
		return nil
	}}))
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			fmt.Fprintln(os.Stderr, name, err)
		}
	}()
	return func() { _ = s.Close(); _ = lock.Close() }, nil
}
