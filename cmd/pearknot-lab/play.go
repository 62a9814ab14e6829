package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/klauspost/compress/zstd"
	"github.com/spf13/cobra"

	"pearknot/balancer"
	"pearknot/internal/capture"
	"pearknot/internal/cli"
	"pearknot/internal/invariants"
	"pearknot/internal/lab/baselines"
	"pearknot/internal/lab/experiment"
	"pearknot/internal/lab/loopback"
	"pearknot/internal/lab/metrics"
	"pearknot/internal/lab/program"
	"pearknot/internal/lab/report"
	"pearknot/internal/lab/runner"
	"pearknot/internal/lab/search"
	"pearknot/internal/lab/virtual"
	"pearknot/internal/serve"
)

// plan is what the commands that play have in common.
type plan struct {
	virtual  bool
	policy   string
	seeds    []uint
	out      string
	events   bool
	capture  string
	pearknot string
	nodeArgs []string
	tls      bool
	renew    []float64
	devices  int
}

func (p *plan) flags(c *cobra.Command) {
	c.Flags().BoolVar(&p.virtual, "virtual", false, "play in virtual time, not with real processes")
	c.Flags().StringVar(&p.policy, "policy", "", "who decides: "+strings.Join(experiment.Policies, ", "))
	c.Flags().UintSliceVar(&p.seeds, "seeds", nil, "seeds in place of the file's")
	c.Flags().StringVar(&p.out, "out", "", "directory for result.json and report.html")
	c.Flags().BoolVar(&p.events, "events", false, "write all events too: events.jsonl.zst in the directory")
	c.Flags().StringVar(&p.capture, "capture", "", "directory for a capture of node 0's module, with --virtual and one seed")
	p.nodeFlags(c)
}

// nodeFlags are those of the commands that start nodes.
func (p *plan) nodeFlags(c *cobra.Command) {
	c.Flags().StringVar(&p.pearknot, "pearknot", "", "the node's program; else the one beside this, else it is built")
	c.Flags().StringArrayVar(&p.nodeArgs, "node-arg", nil, "a further argument of each node's, such as --capture=FILE")
	c.Flags().BoolVar(&p.tls, "tls", false, "clients speak TLS, with certificates of a stand-in authority")
	c.Flags().IntVar(&p.devices, "devices", 1, "that clients are spread over, each with connections of its own; on sockets")
	c.Flags().Float64SliceVar(&p.renew, "renew", nil, "with --tls: seconds at which the certificate is ordered anew")
}

// apply puts the command line's wishes over the file's.
func (p *plan) apply(e *experiment.Experiment) error {
	if p.tls && (p.virtual || p.policy != "" && p.policy != "cda") {
		return cli.UsageError(errors.New("--tls is for real nodes"))
	}
	if p.devices < 0 || p.devices > 10_000 {
		return cli.UsageError(fmt.Errorf("--devices %d is not 0 to 10000", p.devices))
	}
	if len(p.renew) > 0 && !p.tls {
		return cli.UsageError(errors.New("--renew goes with --tls"))
	}
	if p.policy != "" {
		if !slices.Contains(experiment.Policies, p.policy) {
			return cli.UsageError(fmt.Errorf("--policy %q is none of %s", p.policy, strings.Join(experiment.Policies, ", ")))
		}
		e.Policy = p.policy
	}
	if len(p.seeds) > 0 {
		e.Seeds = nil
		for _, s := range p.seeds {
			e.Seeds = append(e.Seeds, uint64(s))
		}
	}
	if p.capture != "" && (!p.virtual || len(e.Seeds) > 1 || e.Policy != "cda") {
		return cli.UsageError(fmt.Errorf("--capture needs --virtual, one seed and the module itself"))
	}
	if p.events && (p.out == "" || len(e.Seeds) > 1) {
		return cli.UsageError(fmt.Errorf("--events writes one history: it needs --out and one seed"))
	}
	return nil
}

// play plays an experiment and writes what was asked for.
func (p *plan) play(ctx context.Context, e *experiment.Experiment, out io.Writer) (r metrics.Result, err error) {
	var watch func(invariants.Event)
	if p.events {
		if err := os.MkdirAll(p.out, 0o755); err != nil {
			return r, err
		}
		w, err := newEventLog(filepath.Join(p.out, report.EventsFile))
		if err != nil {
			return r, err
		}
		defer func() {
			if e := w.close(); err == nil {
				err = e
			}
		}()
		watch = w.write
	}
	if p.virtual {
		o := virtual.Options{Watch: watch}
		if p.capture != "" {
			w, e := capture.NewWriter(capture.WriterConfig{Dir: p.capture, NodeName: "n0", SegmentMB: 16, MaxTotalMB: 1 << 10, FlushInterval: time.Second, BlockKB: 64,
				MaxPendingMB: 1 << 10, Sync: capture.SyncSegment, Log: slog.Default(), Now: func() float64 { return float64(time.Now().UnixMilli()) }})
			if e != nil {
				return r, e
			}
			defer w.Close()
			o.Wrap = wrap(w)
		}
		r, err = runner.RunVirtual(ctx, e, o)
	} else {
		r, err = p.sockets(ctx, e, loopback.Options{Watch: watch}, out)
	}
	if err != nil {
		return r, err
	}
	if p.out != "" {
		if err := report.Write(p.out, r); err != nil {
			return r, err
		}
		if err := report.WritePage(p.out, r); err != nil {
			return r, err
		}
	}
	return r, nil
}

// wrap captures node 0.
func wrap(w *capture.Writer) func(int, int, balancer.Decider, *balancer.Config, float64) balancer.Decider {
	return func(node, life int, d balancer.Decider, t *balancer.Config, now float64) balancer.Decider {
		if node != 0 {
			return d
		}
		r, err := capture.NewRecorder(d, now, capture.Start{Name: "n0", Epoch: uint64(life), Build: cli.Version(), Config: t}, capture.Options{SnapshotIntervalMs: 10e3, Sink: w.Put})
		if err != nil {
			panic(err) // plain values
		}
		return r
	}
}

// sockets plays the seeds one after the other with real processes.
func (p *plan) sockets(ctx context.Context, e *experiment.Experiment, o loopback.Options, out io.Writer) (metrics.Result, error) {
	start, clean, err := p.command(ctx, e.Policy)
	if err != nil {
		return metrics.Result{}, err
	}
	defer clean()
	o.Command = slices.Concat(start, p.nodeArgs)
	o.Devices = p.devices
	if p.tls {
		o.TLS = &loopback.TLS{RenewAtSeconds: p.renew, ResumeSessions: true, OnFinished: func(s loopback.TLSStats) {
			fmt.Fprintf(out, "TLS: %d renewals asked for, %d not taken, %d certificates issued; %d handshakes, %d of them resumed, %d failed\n", s.RenewalsRequested, s.RenewalsRefused,
				s.CertificatesIssued, s.Handshakes, s.Resumed, s.Failed)
		}}
	}
	var runs []metrics.Run
	for _, seed := range e.Seeds {
		run, err := loopback.Run(ctx, e, seed, o)
		if err != nil {
			return metrics.Result{}, err
		}
		runs = append(runs, run)
	}
	return metrics.NewResult(e, metrics.HostLoopback, runs), nil
}

// command is what starts a node: the real program, or for a baseline this program in its place.
func (p *plan) command(ctx context.Context, policy string) (start []string, clean func(), err error) {
	clean = func() {}
	self, err := os.Executable()
	if err != nil {
		return nil, clean, err
	}
	switch beside := filepath.Join(filepath.Dir(self), "pearknot"); {
	case policy == "all-seeing":
		return nil, clean, cli.UsageError(fmt.Errorf("policy all-seeing: only with --virtual"))
	case policy != "cda":
		return []string{self, "node", "--policy", policy}, clean, nil
	case p.pearknot != "":
		return []string{p.pearknot, "serve"}, clean, nil
	case isFile(beside):
		return []string{beside, "serve"}, clean, nil
	}
	dir, err := os.MkdirTemp("", "pearknot-lab-bin")
	if err != nil {
		return nil, clean, err
	}
	clean = func() { _ = os.RemoveAll(dir) }
	bin, err := program.Build(ctx, dir)
	if err != nil {
		clean()
		return nil, func() {}, fmt.Errorf("no pearknot beside this program, and it can't be built here (give --pearknot FILE): %w", err)
	}
	return []string{bin, "serve"}, clean, nil
}

func isFile(name string) bool {
	info, err := os.Stat(name)
	return err == nil && info.Mode().IsRegular()
}

// verdict prints a result and gives the exit status that follows.
func verdict(out io.Writer, r metrics.Result) error {
	fmt.Fprintf(out, "%s, %s, %s: service %s\n", r.Experiment, r.Policy, r.Host, r.Service)
	for _, run := range r.Runs {
		fmt.Fprintln(out, " ", run.Summary())
		for _, t := range run.Faults {
			after := "never"
			if t.RecoverySeconds >= 0 {
				after = fmt.Sprintf("after %.1f s", t.RecoverySeconds)
			}
			fmt.Fprintf(out, "    %s %.0f to %.0f s: service %.3f before, %.3f at worst, recovered %s, benefit lost %.0f\n", t.Kind,
				t.From, t.To, t.ServiceBefore, t.WorstService, after, t.LostWeight)
		}
		if run.Hysteresis != nil {
			fmt.Fprintf(out, "    loop of service over load: area %.3f\n", run.Hysteresis.Area)
		}
		for _, b := range run.Verdict.Evidence[:min(3, len(run.Verdict.Evidence))] {
			fmt.Fprintln(out, "   ", strings.ReplaceAll(b, "\n", "\n    "))
		}
		fmt.Fprintln(out, "   ", run.Verdict.Text)
	}
	if !r.AllRulesKept() {
		return &cli.Error{Status: cli.StatusCheckFailed, Err: errBroken, Silent: true}
	}
	return nil
}

func runCommand() *cobra.Command {
	p := &plan{}
	c := &cobra.Command{Use: "run FILE", Short: "Play an experiment", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			e, err := experiment.Read(args[0])
			if err != nil {
				return cli.UsageIfNotExist(err)
			}
			if err := p.apply(e); err != nil {
				return err
			}
			r, err := p.play(c.Context(), e, c.OutOrStdout())
			if err != nil {
				return err
			}
			return verdict(c.OutOrStdout(), r)
		}}
	p.flags(c)
	return c
}

func sweepCommand() *cobra.Command {
	p, over := &plan{}, ""
	c := &cobra.Command{Use: "sweep FILE --over KEY=a,b,c", Short: "Play an experiment once for each value of one key", Args: cobra.ExactArgs(1),
		Long: `sweep plays the file once for each value. KEY is a key of the file, such as clients.load, fleet.nodes or policy; in a
list of tables it has a number: trouble.0.factor. Results go to a directory for each value under --out.`,
		RunE: func(c *cobra.Command, args []string) error {
			key, list, ok := strings.Cut(over, "=")
			if !ok || key == "" || list == "" {
				return cli.UsageError(fmt.Errorf("--over %q is not KEY=a,b,c", over))
			}
			data, err := os.ReadFile(args[0])
			if err != nil {
				return cli.UsageIfNotExist(err)
			}
			broken := false
			out := p.out
			for _, value := range strings.Split(list, ",") {
				text, err := replaced(data, key, value)
				if err != nil {
					return cli.UsageError(fmt.Errorf("--over: %w", err))
				}
				e, err := experiment.Decode(args[0], text)
				if err != nil {
					return cli.UsageError(fmt.Errorf("with %s = %s: %w", key, value, err))
				}
				if err := p.apply(e); err != nil {
					return err
				}
				if out != "" {
					p.out = filepath.Join(out, value)
				}
				r, err := p.play(c.Context(), e, c.OutOrStdout())
				if err != nil {
					return err
				}
				fmt.Fprintf(c.OutOrStdout(), "%s = %s: ", key, value)
				if verdict(c.OutOrStdout(), r) != nil {
					broken = true
				}
			}
			if broken {
				return &cli.Error{Status: cli.StatusCheckFailed, Err: errBroken, Silent: true}
			}
			return nil
		}}
	p.flags(c)
	c.Flags().StringVar(&over, "over", "", "KEY=a,b,c")
	return c
}

func compareCommand() *cobra.Command {
	return &cobra.Command{Use: "compare A B", Short: "Tell whether two results differ by more than noise", Args: cobra.ExactArgs(2),
		Long: `compare takes the seeds that both results have, pair by pair, and tells of each figure the mean difference B - A with its
95% interval. A difference whose interval holds zero is within noise, and so is any of a single seed.`,
		RunE: func(c *cobra.Command, args []string) error {
			var r [2]metrics.Result
			for i, dir := range args {
				var err error
				if r[i], err = report.Read(dir); err != nil {
					return cli.UsageError(err)
				}
			}
			differences, err := metrics.Compare(r[0], r[1])
			if err != nil {
				return cli.UsageError(err)
			}
			out := c.OutOrStdout()
			fmt.Fprintf(out, "A: %s, %s, %s: service %s\nB: %s, %s, %s: service %s\n", r[0].Experiment, r[0].Policy, r[0].Host, r[0].Service,
				r[1].Experiment, r[1].Policy, r[1].Host, r[1].Service)
			for _, d := range differences {
				word := "differs"
				if d.IncludesZero() {
					word = "within noise"
				}
				fmt.Fprintf(out, "  %-16s B - A %+.3f +- %.3f over %d seeds: %s\n", d.Metric, d.Mean, d.HalfWidth, d.N, word)
			}
			return nil
		}}
}

func searchCommand() *cobra.Command {
	o, out, policy := search.Options{MinLossShare: 0.7}, "", ""
	c := &cobra.Command{Use: "search FILE", Short: "Look for the schedule of troubles on which service is worst, and shrink it", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			e, err := experiment.Read(args[0])
			if err != nil {
				return cli.UsageIfNotExist(err)
			}
			if err := (&plan{policy: policy}).apply(e); err != nil {
				return err
			}
			o.Log = c.ErrOrStderr()
			f, err := search.FindWorst(c.Context(), e, o)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%d experiments played: service %.3f without troubles, %.3f with the worst schedule, %.3f with the %d troubles that are left of it\n",
				f.Played, f.CalmService, f.WorstService, f.ShrunkService, len(f.Experiment.Faults))
			for _, t := range f.Experiment.Faults {
				fmt.Fprintf(c.OutOrStdout(), "  %s at %.1f s for %.1f s, share %.2f, factor %.2f, chance %.2f %s%s\n", t.Kind, t.StartSeconds, t.DurationSeconds, t.Share, t.Factor, t.Chance, t.Zone, t.Class)
			}
			if out != "" {
				text, err := f.Experiment.Encode()
				if err != nil {
					return err
				}
				if err := os.WriteFile(out, text, 0o644); err != nil {
					return err
				}
			}
			if f.RuleBroken {
				fmt.Fprintln(c.OutOrStdout(), "a rule was broken: run the file that --out writes")
				return &cli.Error{Status: cli.StatusCheckFailed, Err: errBroken, Silent: true}
			}
			return nil
		}}
	c.Flags().IntVar(&o.Rounds, "rounds", 40, "schedules drawn")
	c.Flags().IntVar(&o.MaxFaults, "most", 4, "troubles in one schedule")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "of the search")
	c.Flags().StringVar(&out, "out", "", "file for the experiment that was found")
	c.Flags().StringVar(&policy, "policy", "", "who decides")
	return c
}

func reportCommand() *cobra.Command {
	return &cobra.Command{Use: "report DIR", Short: "Make the page of a result anew", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			r, err := report.Read(args[0])
			if err != nil {
				return cli.UsageError(err)
			}
			if err := report.WritePage(args[0], r); err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), filepath.Join(args[0], report.PageFile))
			return nil
		}}
}

// nodeCommand is a node that a baseline decides for, on the same sockets as the real one.
func nodeCommand() *cobra.Command {
	name, file := "", ""
	c := &cobra.Command{Use: "node", Hidden: true, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		again := serve.NotifyReload()
		log := slog.New(slog.NewTextHandler(c.ErrOrStderr(), nil))
		p, err := serve.ReadConfig(file, log)
		if err != nil {
			return cli.UsageError(err)
		}
		if _, err := baselines.New(name, &balancer.Config{}, 0, nil); err != nil {
			return cli.UsageError(err)
		}
		return serve.Run(c.Context(), again, p, serve.Options{Version: cli.Version(), NewDecider: func(t *balancer.Config, now float64) balancer.Decider {
			d, _ := baselines.New(name, t, now, nil) // the name was tried above
			return d
		}}, log)
	}}
	c.Flags().StringVar(&name, "policy", "random", "who decides")
	c.Flags().StringVar(&file, "config", "", "configuration file")
	return c
}

// replaced puts a value in the place of a key's, or adds the key to its table.
func replaced(data []byte, key, value string) ([]byte, error) {
	if _, err := strconv.ParseFloat(value, 64); err != nil && value != "true" && value != "false" {
		value = strconv.Quote(value)
	}
	parts := strings.Split(key, ".")
	last, table := parts[len(parts)-1], parts[:len(parts)-1]
	head, skip := "", 0
	switch len(table) {
	case 0:
	case 1:
		head = "[" + table[0] + "]"
	case 2:
		n, err := strconv.Atoi(table[1])
		if err != nil || n < 0 {
			return nil, fmt.Errorf("%s: no number between table and key", key)
		}
		head, skip = "[["+table[0]+"]]", n
	default:
		return nil, fmt.Errorf("%s: too deep", key)
	}
	lines := strings.Split(string(data), "\n")
	start := 0
	if head != "" {
		start = -1
		for i, l := range lines {
			if strings.TrimSpace(l) == head {
				if skip == 0 {
					start = i + 1
					break
				}
				skip--
			}
		}
		if start < 0 {
			return nil, fmt.Errorf("%s: no such table in the file", key)
		}
	}
	line := last + " = " + value
	for i := start; i < len(lines) && !strings.HasPrefix(strings.TrimSpace(lines[i]), "["); i++ {
		if name, _, ok := strings.Cut(lines[i], "="); ok && strings.TrimSpace(name) == last {
			lines[i] = line
			return []byte(strings.Join(lines, "\n")), nil
		}
	}
	return []byte(strings.Join(slices.Insert(lines, start, line), "\n")), nil
}

// eventLog writes events as lines of JSON.
type eventLog struct {
	file *os.File
	zip  *zstd.Encoder
	buf  *bufio.Writer
	json *json.Encoder
	err  error
}

func newEventLog(name string) (*eventLog, error) {
	f, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	z, err := zstd.NewWriter(f)
	if err != nil {
		return nil, err
	}
	b := bufio.NewWriter(z)
	return &eventLog{file: f, zip: z, buf: b, json: json.NewEncoder(b)}, nil
}

func (l *eventLog) write(e invariants.Event) {
	if l.err == nil {
		l.err = l.json.Encode(map[string]any{"at_ms": e.At, "what": e.Kind.String(), "op": e.Request, "node": e.Node, "backend": e.Backend,
			"push": e.Attempt, "text": e.String()})
	}
}

func (l *eventLog) close() error {
	for _, f := range []func() error{l.buf.Flush, l.zip.Close, l.file.Close} {
		if err := f(); l.err == nil {
			l.err = err
		}
	}
	return l.err
}
