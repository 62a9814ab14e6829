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

// certsCommand shows certificates and acts on them.
func certsCommand() *cobra.Command {
	root := &cobra.Command{Use: "certs", Short: "Certificates: what is served, and what becomes of it"}
	root.AddCommand(
		certsStatusCommand(),
		certsCheckCommand(),
		accountKeyCommand(),
		certificateCommand("renew", controlsocket.RenewPath,
			"Have a certificate ordered anew now, whatever its age", "is ordered anew"),
		certificateCommand("revoke", controlsocket.RevokePath,
			"Revoke a certificate at its authority; another is ordered at once", "revoked, and ordered anew"),
	)
	return root
}

func certsStatusCommand() *cobra.Command {
	return &cobra.Command{
		Use: "status SOCKET|FILE",
		Short: "Show a node's certificates, by its control socket or by its tls.toml; " +
			"3 where one is late, expired or missing",
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
		"handshakes: %d done, %d of them resumed, %d failed, %d ended for others, %d open\n",
		status.TLS.Listen, status.TLS.Dir, orderedBy,
		handshakes.Done, handshakes.Resumed, handshakes.Failed, handshakes.Evicted, handshakes.Open)
	return printCertificates(command.OutOrStdout(), status.TLS.Certificates)
}

// printStoredCertificates prints the certificates in the store of a tls.toml. The call's error is returned if the
// path is a control socket after all.
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

// certificateCommand returns a command that has a node act on one certificate.
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
		Short: "Give the account at an authority a new key",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			client := controlsocket.NewClient(args[0], certsCallTimeout)
			account := controlsocket.Certificate{Authority: authority}
			err := client.Call(command.Context(), "POST", controlsocket.AccountKeyPath, account, nil)
			if err == nil {
				fmt.Fprintln(command.OutOrStdout(), "the account has a new key")
			}
			return err
		},
	}
	command.Flags().IntVar(&authority, "authority", 0, "which one of the file, from 0")
	return command
}

func certsCheckCommand() *cobra.Command {
	var address string
	command := &cobra.Command{
		Use: "check FILE",
		Short: "Read a tls.toml, and make a handshake for each name where an address is given; " +
			"3 where what is served will not do",
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
	command.Flags().StringVar(&address, "address", "", "host:port of a listener to look at")
	return command
}

// isSocket reports whether a process listens on a Unix socket of that name.
func isSocket(name string) bool {
	connection, err := net.DialTimeout("unix", name, dialTimeout)
	if err == nil {
		_ = connection.Close()
	}
	return err == nil
}

// printCertificates prints a table. Its error says that an operator has something to do.
func printCertificates(out io.Writer, statuses []acme.Status) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "name\tstage\texpires\trenewed from\tnext try\torder\tlatest fault")
	bad := 0
	for _, status := range statuses {
		if status.Stage != certs.StageFine && status.Stage != certs.StageRenewalDue {
			bad++
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
	if err := table.Flush(); err != nil || bad == 0 {
		return err
	}
	err := fmt.Errorf("%d of %d certificates want looking after", bad, len(statuses))
	return &cli.Error{Status: cli.StatusCheckFailed, Err: err}
}

// formatTime returns a time for a table, with a dash for none.
func formatTime(when time.Time) string {
	if when.IsZero() {
		return "-"
	}
	return when.UTC().Format(time.RFC3339)
}

// checkHandshakes makes a handshake for each name, as a client would.
func checkHandshakes(out io.Writer, address string, config *serve.TLS, now time.Time) error {
	bad := 0
	for _, names := range config.ACME.Names {
		for _, name := range names {
			timeLeft, err := checkHandshake(out, address, name, config, now)
			if err != nil {
				fmt.Fprintf(out, "%s: %v\n", name, err)
			}
			if err != nil || timeLeft < minTimeLeft {
				bad++
			}
		}
	}
	if bad > 0 {
		err := fmt.Errorf("%d names are not served as they should", bad)
		return &cli.Error{Status: cli.StatusCheckFailed, Err: err}
	}
	return nil
}

// checkHandshake makes a handshake for one name, and returns how long the certificate is still valid. Whichever of the
// authorities has issued it is trusted.
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
	fmt.Fprintf(out, "%s: serial %s, ends %s, in %s\n",
		name, leaf.SerialNumber, leaf.NotAfter.UTC().Format(time.RFC3339), timeLeft.Round(time.Minute))
	return timeLeft, nil
}
