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
	c := &cobra.Command{Use: "certs", Short: "Certificates: what is served, and what becomes of it"}
	status := &cobra.Command{Use: "status SOCKET|FILE", Args: cobra.ExactArgs(1), Short: "Show a node's certificates, by its control socket or by its tls.toml; 3 where one is late, expired or missing",
		RunE: func(c *cobra.Command, args []string) error {
			var s controlsocket.Status
			err := controlsocket.NewClient(args[0], dialTimeout).Call(c.Context(), "GET", controlsocket.StatusPath, nil, &s)
			if err == nil && s.TLS == nil {
				return cli.UsageError(fmt.Errorf("%s: this node serves no TLS", args[0]))
			}
			if err != nil {
				t, odd := serve.ReadTLS(args[0])
				if odd != nil {
					if isSocket(args[0]) {
						return err
					}
					return cli.UsageError(odd)
				}
				t.ACME.Log = slog.New(slog.DiscardHandler)
				return printCertificates(c.OutOrStdout(), acme.ReadStatus(t.ACME))
			}
			by := "this instance"
			if !s.TLS.Orders {
				by = fmt.Sprintf("process %d", s.TLS.OrderedBy)
			}
			h := s.TLS.Handshakes
			fmt.Fprintf(c.OutOrStdout(), "%s, store %s, ordered by %s; handshakes: %d done, %d of them resumed, %d failed, %d ended for others, %d open\n",
				s.TLS.Listen, s.TLS.Dir, by, h.Done, h.Resumed, h.Failed, h.Evicted, h.Open)
			return printCertificates(c.OutOrStdout(), s.TLS.Certificates)
		}}
	tell := func(use, path, short string, done string) *cobra.Command {
		return &cobra.Command{Use: use + " SOCKET NAME", Args: cobra.ExactArgs(2), Short: short, RunE: func(c *cobra.Command, args []string) error {
			err := controlsocket.NewClient(args[0], certsCallTimeout).Call(c.Context(), "POST", path, controlsocket.Certificate{Name: args[1]}, nil)
			var refused *controlsocket.ResponseError
			if errors.As(err, &refused) {
				return &cli.Error{Status: cli.StatusCheckFailed, Err: err}
			}
			if err == nil {
				fmt.Fprintf(c.OutOrStdout(), "%s: %s\n", args[1], done)
			}
			return err
		}}
	}
	key := &cobra.Command{Use: "account-key SOCKET", Args: cobra.ExactArgs(1), Short: "Give the account at an authority a new key"}
	authority := key.Flags().Int("authority", 0, "which one of the file, from 0")
	key.RunE = func(c *cobra.Command, args []string) error {
		err := controlsocket.NewClient(args[0], certsCallTimeout).Call(c.Context(), "POST", controlsocket.KeyPath, controlsocket.Certificate{Authority: *authority}, nil)
		if err == nil {
			fmt.Fprintln(c.OutOrStdout(), "the account has a new key")
		}
		return err
	}
	address := ""
	check := &cobra.Command{Use: "check FILE", Args: cobra.ExactArgs(1), Short: "Read a tls.toml, and make a handshake for each name where an address is given; 3 where what is served will not do",
		RunE: func(c *cobra.Command, args []string) error {
			t, err := serve.ReadTLS(args[0])
			if err != nil {
				return cli.UsageError(err)
			}
			if address == "" {
				fmt.Fprintf(c.OutOrStdout(), "%s: TLS on %s, %d certificates, %d authorities, store %s\n", args[0], t.Address, len(t.ACME.Names), len(t.ACME.Authorities), t.ACME.Dir)
				return nil
			}
			return checkHandshakes(c.OutOrStdout(), address, t, time.Now())
		}}
	check.Flags().StringVar(&address, "address", "", "host:port of a listener to look at")
	c.AddCommand(status, check, key,
		tell("renew", controlsocket.RenewPath, "Have a certificate ordered anew now, whatever its age", "is ordered anew"),
		tell("revoke", controlsocket.RevokePath, "Revoke a certificate at its authority; another is ordered at once", "revoked, and ordered anew"))
	return c
}

func isSocket(name string) bool {
	c, err := net.DialTimeout("unix", name, dialTimeout)
	if err == nil {
		_ = c.Close()
	}
	return err == nil
}

// printCertificates prints a table. Its error says that an operator has something to do.
func printCertificates(out io.Writer, all []acme.Status) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "name\tstage\texpires\trenewed from\tnext try\torder\tlatest fault")
	bad := 0
	at := func(t time.Time) string {
		if t.IsZero() {
			return "-"
		}
		return t.UTC().Format(time.RFC3339)
	}
	for _, s := range all {
		if s.Stage != certs.StageFine && s.Stage != certs.StageRenewalDue {
			bad++
		}
		order, fault := "-", "-"
		if s.Order != "" {
			order = "open"
		}
		if s.LastFailure != "" {
			fault = at(s.LastFailureAt) + " " + s.LastFailure
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", s.Name, s.Stage, at(s.NotAfter), at(s.RenewAt), at(s.RetryAt), order, fault)
	}
	if err := w.Flush(); err != nil || bad == 0 {
		return err
	}
	return &cli.Error{Status: cli.StatusCheckFailed, Err: fmt.Errorf("%d of %d certificates want looking after", bad, len(all))}
}

// checkHandshakes makes a handshake for each name, as a client would.
func checkHandshakes(out io.Writer, address string, t *serve.TLS, now time.Time) error {
	bad := 0
	for _, names := range t.ACME.Names {
		for _, name := range names {
			var c *tls.Conn
			var err error
			for _, a := range t.ACME.Authorities { // whichever has issued it
				c, err = tls.DialWithDialer(&net.Dialer{Timeout: dialTimeout}, "tcp", address, &tls.Config{ServerName: name, RootCAs: a.Roots, MinVersion: tls.VersionTLS12})
				if err == nil {
					break
				}
			}
			if err != nil {
				bad++
				fmt.Fprintf(out, "%s: %v\n", name, err)
				continue
			}
			leaf := c.ConnectionState().PeerCertificates[0]
			_ = c.Close()
			left := leaf.NotAfter.Sub(now)
			fmt.Fprintf(out, "%s: serial %s, ends %s, in %s\n", name, leaf.SerialNumber, leaf.NotAfter.UTC().Format(time.RFC3339), left.Round(time.Minute))
			if left < minTimeLeft {
				bad++
			}
		}
	}
	if bad > 0 {
		return &cli.Error{Status: cli.StatusCheckFailed, Err: fmt.Errorf("%d names are not served as they should", bad)}
	}
	return nil
}
