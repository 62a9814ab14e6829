package main

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"pearknot/internal/acme"
	"pearknot/internal/certs"
	"pearknot/internal/cli"
	"pearknot/internal/controlsocket"
	"pearknot/internal/serve"
)

const (
	certsCallTimeout = time.Minute // a revocation is a call to the authority
	dialTimeout      = 5 * time.Second
	minTimeLeft      = 24 * time.Hour // a certificate that expires sooner should have been renewed
)

// certsCommand returns the commands that show, check, renew and revoke certificates.
func certsCommand() *cobra.Command {
	root := &cobra.Command{Use: "certs", Short: "Show, check, renew and revoke certificates"}
	root.AddCommand(
		certsStatusCommand(),
		certsCheckCommand(),
		accountKeyCommand(),
		certificateCommand("renew", controlsocket.RenewPath,
			"Order a new certificate now, whatever the age of the current one", "renewal requested"),
		certificateCommand("revoke", controlsocket.RevokePath,
			"Revoke a certificate at its authority; a new one is ordered at once", "revoked, new certificate requested"),
	)
	return root
}

func certsStatusCommand() *cobra.Command {
	return &cobra.Command{
		Use: "status SOCKET|FILE",
		Short: "Show a node's certificates, from its control socket or its tls.toml; " +
			"exit status 3 if one is late, expired or missing",
		Args: cobra.ExactArgs(1),
		RunE: certsStatus,
	}
}

// certsStatus prints the certificates that a node serves. If no node answers, they are read from the store of a
// tls.toml.
func certsStatus(command *cobra.Command, args []string) error {
	var status controlsocket.Status
	client := controlsocket.NewClient(args[0], dialTimeout)
	if err := client.Call(command.Context(), "GET", controlsocket.StatusPath, nil, &status); err != nil {
		return printStoredCertificates(command, args[0], err)
	}
	if status.TLS == nil {
		return cli.UsageError(fmt.Errorf("%s: this node serves no TLS", args[0]))
	}
	orderedBy := "this instance"
	if !status.TLS.Orders {
		orderedBy = fmt.Sprintf("process %d", status.TLS.OrderedBy)
	}
	handshakes := status.TLS.Handshakes
	fmt.Fprintf(command.OutOrStdout(), "%s, store %s, ordered by %s; "+
		"handshakes: %d done, %d of them resumed, %d failed, %d evicted, %d open\n",
		status.TLS.Listen, status.TLS.Dir, orderedBy,
		handshakes.Done, handshakes.Resumed, handshakes.Failed, handshakes.Evicted, handshakes.Open)
	return printCertificates(command.OutOrStdout(), status.TLS.Certificates)
}

// printStoredCertificates prints the certificates in the store of a tls.toml. It returns callErr if the path is a
// control socket instead.
func printStoredCertificates(command *cobra.Command, path string, callErr error) error {
	config, err := serve.ReadTLS(path)
	if err != nil {
		if isSocket(path) {
			return callErr
		}
		return cli.UsageError(err)
	}
	config.ACME.Log = slog.New(slog.DiscardHandler)
	return printCertificates(command.OutOrStdout(), acme.ReadStatus(config.ACME))
}

// certificateCommand returns a command that sends a request for one certificate to a node, and prints done if the node
// accepts it.
func certificateCommand(verb, path, short, done string) *cobra.Command {
	return &cobra.Command{
		Use:   verb + " SOCKET NAME",
		Short: short,
		Args:  cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			client := controlsocket.NewClient(args[0], certsCallTimeout)
			err := client.Call(command.Context(), "POST", path, controlsocket.Certificate{Name: args[1]}, nil)
			var refused *controlsocket.ResponseError
			if errors.As(err, &refused) {
				return &cli.Error{Status: cli.StatusCheckFailed, Err: err}
			}
			if err == nil {
				fmt.Fprintf(command.OutOrStdout(), "%s: %s\n", args[1], done)
			}
			return err
		},
	}
}

func accountKeyCommand() *cobra.Command {
	var authority int
	command := &cobra.Command{
		Use:   "account-key SOCKET",
		Short: "Replace the key of the account at an authority",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			client := controlsocket.NewClient(args[0], certsCallTimeout)
			account := controlsocket.Certificate{Authority: authority}
			err := client.Call(command.Context(), "POST", controlsocket.AccountKeyPath, account, nil)
			if err == nil {
				fmt.Fprintln(command.OutOrStdout(), "account key replaced")
			}
			return err
		},
	}
	command.Flags().IntVar(&authority, "authority", 0, "index of the authority in the file, from 0")
	return command
}

func certsCheckCommand() *cobra.Command {
	var address string
	command := &cobra.Command{
		Use: "check FILE",
		Short: "Read a tls.toml and, with --address, make a handshake for each name; " +
			"exit status 3 if one fails or its certificate expires within a day",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			config, err := serve.ReadTLS(args[0])
			if err != nil {
				return cli.UsageError(err)
			}
			if address != "" {
				return checkHandshakes(command.OutOrStdout(), address, config, time.Now())
			}
			fmt.Fprintf(command.OutOrStdout(), "%s: TLS on %s, %d certificates, %d authorities, store %s\n",
				args[0], config.Address, len(config.ACME.Names), len(config.ACME.Authorities), config.ACME.Dir)
			return nil
		},
	}
	command.Flags().StringVar(&address, "address", "", "host:port of the listener to check")
	return command
}

// isSocket reports whether a process listens on the Unix socket of that name.
func isSocket(name string) bool {
	connection, err := net.DialTimeout("unix", name, dialTimeout)
	if err == nil {
		_ = connection.Close()
	}
	return err == nil
}

// printCertificates prints a table of certificates. It returns an error if any of them needs an operator's attention.
func printCertificates(out io.Writer, statuses []acme.Status) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "name\tstage\texpires\trenewal due\tnext retry\torder\tlast failure")
	needAttention := 0
	for _, status := range statuses {
		if status.Stage != certs.StageFine && status.Stage != certs.StageRenewalDue {
			needAttention++
		}
		order, failure := "-", "-"
		if status.Order != "" {
			order = "open"
		}
		if status.LastFailure != "" {
			failure = formatTime(status.LastFailureAt) + " " + status.LastFailure
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", status.Name, status.Stage,
			formatTime(status.NotAfter), formatTime(status.RenewAt), formatTime(status.RetryAt), order, failure)
	}
	if err := table.Flush(); err != nil || needAttention == 0 {
		return err
	}
	err := fmt.Errorf("%d of %d certificates need attention", needAttention, len(statuses))
	return &cli.Error{Status: cli.StatusCheckFailed, Err: err}
}

// formatTime formats a time for a table, the zero time as a dash.
func formatTime(when time.Time) string {
	if when.IsZero() {
		return "-"
	}
	return when.UTC().Format(time.RFC3339)
}

// checkHandshakes makes a handshake for each name, as a client would.
func checkHandshakes(out io.Writer, address string, config *serve.TLS, now time.Time) error {
	failed := 0
	for _, names := range config.ACME.Names {
		for _, name := range names {
			timeLeft, err := checkHandshake(out, address, name, config, now)
			if err != nil {
				fmt.Fprintf(out, "%s: %v\n", name, err)
			}
			if err != nil || timeLeft < minTimeLeft {
				failed++
			}
		}
	}
	if failed > 0 {
		err := fmt.Errorf("%d names failed the check or have a certificate that expires within a day", failed)
		return &cli.Error{Status: cli.StatusCheckFailed, Err: err}
	}
	return nil
}

// checkHandshake makes a handshake for one name, and returns how long the certificate is still valid. A
// certificate from any of the configured authorities is trusted.
func checkHandshake(out io.Writer, address, name string, config *serve.TLS, now time.Time) (time.Duration, error) {
	var connection *tls.Conn
	var err error
	for _, authority := range config.ACME.Authorities {
		clientConfig := &tls.Config{ServerName: name, RootCAs: authority.Roots, MinVersion: tls.VersionTLS12}
		connection, err = tls.DialWithDialer(&net.Dialer{Timeout: dialTimeout}, "tcp", address, clientConfig)
		if err == nil {
			break
		}
	}
	if err != nil {
		return 0, err
	}
	leaf := connection.ConnectionState().PeerCertificates[0]
	_ = connection.Close()
	timeLeft := leaf.NotAfter.Sub(now)
	fmt.Fprintf(out, "%s: serial %s, expires %s, in %s\n",
		name, leaf.SerialNumber, leaf.NotAfter.UTC().Format(time.RFC3339), timeLeft.Round(time.Minute))
	return timeLeft, nil
}
