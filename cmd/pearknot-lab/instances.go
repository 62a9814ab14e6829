package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
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

const (
	defaultInstances = 2000
	// firstInstancePort is the port that the first instance claims to serve at; nothing listens there.
	firstInstancePort = 10000
)

// instancesCommand runs many stand-in instances in one process: each holds its lock and answers on its control socket, as an
// agent expects of a node, and does nothing else. An agent whose state is lost adopts them.
func instancesCommand() *cobra.Command {
	var dir string
	var count int
	command := &cobra.Command{
		Use:   "instances --dir DIR",
		Short: "Stand-in instances in an agent's directory, until interrupted",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runInstances(command, dir, count)
		},
	}
	command.Flags().StringVar(&dir, "dir", "", "the agent's directory")
	command.Flags().IntVar(&count, "count", defaultInstances, "how many")
	_ = command.MarkFlagRequired("dir")
	return command
}

func runInstances(command *cobra.Command, dir string, count int) error {
	for _, subdirectory := range []string{"run", "logs", "configs"} {
		if err := os.MkdirAll(filepath.Join(dir, subdirectory), 0o700); err != nil {
			return err
		}
	}
	for number := range count {
		stop, err := startInstance(dir, number)
		if err != nil {
			return err
		}
		defer stop()
	}
	fmt.Fprintf(command.OutOrStdout(), "%d stand-in instances in %s\n", count, dir)
	<-command.Context().Done()
	return nil
}

// startInstance takes an instance's lock and serves its control socket until stop is called.
func startInstance(dir string, number int) (stop func(), err error) {
	name := fmt.Sprintf("s%05d", number)
	token := fmt.Sprintf("stand-in-%d", number)
	lock, err := takeLock(filepath.Join(dir, "run", name+".lock"), token)
	if err != nil {
		return nil, err
	}
	listener, err := controlsocket.Listen(filepath.Join(dir, "run", name+".sock"))
	if err != nil {
		return nil, errors.Join(err, lock.Close())
	}
	server := controlsocket.NewServer(instanceHandler(name, token, number))
	go serveInstance(name, server, listener)
	return func() { _ = server.Close(); _ = lock.Close() }, nil
}

// takeLock locks an instance's lock file and writes into it that this process holds it.
func takeLock(file, token string) (*os.File, error) {
	lock, err := os.OpenFile(file, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return nil, errors.Join(err, lock.Close())
	}
	holder, err := json.Marshal(serve.LockHolder{PID: os.Getpid(), Token: token})
	if err == nil {
		_, err = lock.WriteAt(holder, 0)
	}
	if err != nil {
		return nil, errors.Join(err, lock.Close())
	}
	return lock, nil
}

// instanceHandler answers as a node that is ready, and in service unless it has been taken out.
func instanceHandler(name, token string, number int) http.Handler {
	var outOfService atomic.Bool
	return controlsocket.NewNodeHandler(controlsocket.NodeCalls{
		Status: func(context.Context) (controlsocket.Status, error) {
			return controlsocket.Status{
				Token:       token,
				PID:         os.Getpid(),
				Name:        name,
				Listen:      fmt.Sprintf("127.0.0.1:%d", firstInstancePort+number),
				Digest:      agent.Digest(name),
				ListAddress: "127.0.0.1:1",
				Ready:       true,
				InService:   !outOfService.Load(),
			}, nil
		},
		SetService: func(service controlsocket.Service) error {
			outOfService.Store(!service.InService)
			return nil
		},
	})
}

func serveInstance(name string, server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		fmt.Fprintln(os.Stderr, name, err)
	}
}
