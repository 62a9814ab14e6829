package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"pearknot/internal/cli"
	"pearknot/internal/lab/acmestub"
	"pearknot/internal/tomlfile"
)

// authorityFile is the schedule of an authority's troubles.
type authorityFile struct {
	Trouble []struct {
		Kind   string  `toml:"kind"`
		At     float64 `toml:"at_s"`
		For    float64 `toml:"for_s"`
		Name   string  `toml:"name"`
		Delay  float64 `toml:"delay_ms"`
		AfterS float64 `toml:"retry_after_s"`
	} `toml:"trouble"`
}

// schedule reads a file of troubles; they count from begun on.
func schedule(name string, begun time.Time) (all []acmestub.ScheduledFault, err error) {
	var f authorityFile
	at, err := tomlfile.Read(name, &f)
	if err != nil {
		return nil, err
	}
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	for k, t := range f.Trouble {
		key := fmt.Sprintf("trouble.%d.", k)
		kind := acmestub.Fault(t.Kind)
		if !kind.IsKnown() {
			return nil, at.Errorf(key+"kind", "%q is none of %s", t.Kind, strings.Join(acmestub.FaultNames(), ", "))
		}
		if t.At < 0 || !(t.For > 0) || t.Delay < 0 || t.AfterS < 0 {
			return nil, at.Errorf(key+"for_s", "a span that is none")
		}
		all = append(all, acmestub.ScheduledFault{Fault: kind, Start: begun.Add(seconds(t.At)), End: begun.Add(seconds(t.At + t.For)), Name: t.Name,
			Delay: seconds(t.Delay / 1e3), RetryAfter: seconds(t.AfterS)})
	}
	return all, nil
}

// authorityCommand runs the stand-in until it is interrupted.
func authorityCommand() *cobra.Command {
	var listen, dir, http1, alpn, troubles string
	life, window := 90*24*time.Hour, 0.7
	c := &cobra.Command{Use: "authority", Args: cobra.NoArgs, Short: "A stand-in for a certificate authority by RFC 8555, on loopback",
		Long: `authority issues certificates by ACME, from a root of its own that nobody trusts and that ends with it. Whatever the name, a
challenge is looked up at the two addresses given: names need not resolve. Troubles come on a schedule:

    [[trouble]]
    kind = "unreachable"   # ` + strings.Join(acmestub.FaultNames(), ", ") + `
    at_s = 60              # from its start on
    for_s = 3600
    # name = "one.example" # only for it: reject
    # delay_ms = 2000      # slow
    # retry_after_s = 600  # rate-limited`,
		RunE: func(c *cobra.Command, _ []string) error {
			for what, address := range map[string]string{"--listen": listen, "--http": http1, "--tls": alpn} {
				host, _, err := net.SplitHostPort(address)
				if err != nil || !net.ParseIP(host).IsLoopback() {
					return cli.UsageError(fmt.Errorf("%s %q is no loopback address with a port", what, address))
				}
			}
			if valid := life > 0 && window >= 0 && window < 1; !valid { // NaN is refused too
				return cli.UsageError(errors.New("--life or --window is none"))
			}
			a, err := acmestub.New(acmestub.Options{CertificateLifetime: life, RenewalWindowStart: window, HTTPChallengeAddress: func(string) string { return http1 }, TLSChallengeAddress: func(string) string { return alpn }})
			if err != nil {
				return err
			}
			if troubles != "" {
				all, err := schedule(troubles, time.Now())
				if err != nil {
					return cli.UsageError(err)
				}
				a.ScheduleFaults(all...)
			}
			root := filepath.Join(dir, "roots.pem")
			if err := os.WriteFile(root, a.RootPEM(), 0o644); err != nil {
				return err
			}
			l, err := net.Listen("tcp", listen)
			if err != nil {
				return err
			}
			server := &http.Server{Handler: a, ReadHeaderTimeout: 10 * time.Second, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
			fmt.Fprintf(c.OutOrStdout(), "directory http://%s/directory, root %s, challenges at %s and %s\n", l.Addr(), root, http1, alpn)
			stop := context.AfterFunc(c.Context(), func() { _ = server.Close() })
			defer stop()
			if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		}}
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "where")
	c.Flags().StringVar(&dir, "dir", ".", "where roots.pem is written")
	c.Flags().StringVar(&http1, "http", "127.0.0.1:8080", "where http-01 is looked up")
	c.Flags().StringVar(&alpn, "tls", "127.0.0.1:8443", "where tls-alpn-01 is looked up")
	c.Flags().StringVar(&troubles, "troubles", "", "file with a schedule of troubles")
	c.Flags().DurationVar(&life, "life", life, "of a certificate")
	c.Flags().Float64Var(&window, "window", window, "renewal is suggested from this share of a life on; 0 offers no such information")
	return c
}
