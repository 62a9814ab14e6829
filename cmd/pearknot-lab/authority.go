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

const (
	defaultCertificateLifetime = 90 * 24 * time.Hour
	// defaultRenewalWindow is the share of a certificate's lifetime after which its renewal is suggested.
	defaultRenewalWindow = 0.7
	// requestHeadTimeout bounds how long the authority waits for the head of a request.
	requestHeadTimeout = 10 * time.Second
)

// authorityFaultFile is the file with a schedule of an authority's faults.
type authorityFaultFile struct {
	Faults []authorityFault `toml:"trouble"`
}

type authorityFault struct {
	Kind              string  `toml:"kind"`
	StartSeconds      float64 `toml:"at_s"`
	DurationSeconds   float64 `toml:"for_s"`
	Name              string  `toml:"name"`
	DelayMs           float64 `toml:"delay_ms"`
	RetryAfterSeconds float64 `toml:"retry_after_s"`
}

// readFaultSchedule reads a file of faults, whose times count from start.
func readFaultSchedule(name string, start time.Time) ([]acmestub.ScheduledFault, error) {
	var schedule authorityFaultFile
	file, err := tomlfile.Read(name, &schedule)
	if err != nil {
		return nil, err
	}
	var faults []acmestub.ScheduledFault
	for i, fault := range schedule.Faults {
		key := fmt.Sprintf("trouble.%d.", i)
		kind := acmestub.Fault(fault.Kind)
		if !kind.IsKnown() {
			return nil, file.Errorf(key+"kind", "%q is none of %s", fault.Kind, strings.Join(acmestub.FaultNames(), ", "))
		}
		isSpan := fault.StartSeconds >= 0 && fault.DurationSeconds > 0 && fault.DelayMs >= 0 && fault.RetryAfterSeconds >= 0
		if !isSpan {
			return nil, file.Errorf(key+"for_s", "give it above 0, and at_s, delay_ms and retry_after_s not below 0")
		}
		faults = append(faults, acmestub.ScheduledFault{
			Fault:      kind,
			Start:      start.Add(seconds(fault.StartSeconds)),
			End:        start.Add(seconds(fault.StartSeconds + fault.DurationSeconds)),
			Name:       fault.Name,
			Delay:      seconds(fault.DelayMs / 1e3),
			RetryAfter: seconds(fault.RetryAfterSeconds),
		})
	}
	return faults, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// authorityTool holds the flags of authority.
type authorityTool struct {
	listenAddress string
	dir           string
	httpAddress   string
	tlsAddress    string
	faultFile     string
	lifetime      time.Duration
	renewalWindow float64
}

// authorityCommand runs a stand-in for a certificate authority until it is interrupted.
func authorityCommand() *cobra.Command {
	tool := &authorityTool{}
	command := &cobra.Command{
		Use:   "authority",
		Short: "A stand-in for a certificate authority by RFC 8555, on loopback",
		Long: `authority issues certificates by ACME, from a root of its own that nobody trusts and that ends with it. Whatever the name, a
challenge is looked up at the two addresses given: names need not resolve. Faults come on a schedule:

    [[trouble]]
    kind = "unreachable"   # ` + strings.Join(acmestub.FaultNames(), ", ") + `
    at_s = 60              # from its start on
    for_s = 3600
    # name = "one.example" # only for it: reject
    # delay_ms = 2000      # slow
    # retry_after_s = 600  # rate-limited`,
		Args: cobra.NoArgs,
		RunE: tool.run,
	}
	flags := command.Flags()
	flags.StringVar(&tool.listenAddress, "listen", "127.0.0.1:0", "where")
	flags.StringVar(&tool.dir, "dir", ".", "where roots.pem is written")
	flags.StringVar(&tool.httpAddress, "http", "127.0.0.1:8080", "where http-01 is looked up")
	flags.StringVar(&tool.tlsAddress, "tls", "127.0.0.1:8443", "where tls-alpn-01 is looked up")
	flags.StringVar(&tool.faultFile, "troubles", "", "file with a schedule of faults")
	flags.DurationVar(&tool.lifetime, "life", defaultCertificateLifetime, "lifetime of a certificate")
	flags.Float64Var(&tool.renewalWindow, "window", defaultRenewalWindow,
		"renewal is suggested from this share of a lifetime on; 0 offers no such information")
	return command
}

// check returns the first error in the flags.
func (t *authorityTool) check() error {
	for flag, address := range map[string]string{"--listen": t.listenAddress, "--http": t.httpAddress, "--tls": t.tlsAddress} {
		host, _, err := net.SplitHostPort(address)
		if err != nil || !net.ParseIP(host).IsLoopback() {
			return fmt.Errorf("%s %q is no loopback address with a port", flag, address)
		}
	}
	if isValid := t.lifetime > 0 && t.renewalWindow >= 0 && t.renewalWindow < 1; !isValid { // NaN is refused too
		return errors.New("--life must be above 0, and --window from 0 to below 1")
	}
	return nil
}

func (t *authorityTool) run(command *cobra.Command, _ []string) error {
	if err := t.check(); err != nil {
		return cli.UsageError(err)
	}
	authority, err := acmestub.New(acmestub.Options{
		CertificateLifetime:  t.lifetime,
		RenewalWindowStart:   t.renewalWindow,
		HTTPChallengeAddress: func(string) string { return t.httpAddress },
		TLSChallengeAddress:  func(string) string { return t.tlsAddress },
	})
	if err != nil {
		return err
	}
	if t.faultFile != "" {
		faults, err := readFaultSchedule(t.faultFile, time.Now())
		if err != nil {
			return cli.UsageError(err)
		}
		authority.ScheduleFaults(faults...)
	}
	rootFile := filepath.Join(t.dir, "roots.pem")
	if err := os.WriteFile(rootFile, authority.RootPEM(), 0o644); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", t.listenAddress)
	if err != nil {
		return err
	}
	fmt.Fprintf(command.OutOrStdout(), "directory http://%s/directory, root %s, challenges at %s and %s\n",
		listener.Addr(), rootFile, t.httpAddress, t.tlsAddress)
	return serveUntilDone(command.Context(), listener, authority)
}

// serveUntilDone serves HTTP until ctx is done.
func serveUntilDone(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: requestHeadTimeout,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
