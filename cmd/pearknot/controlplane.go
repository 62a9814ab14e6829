package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/user"
	"regexp"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"pearknot/internal/cli"
	"pearknot/internal/controlplane"
	"pearknot/internal/controlplane/client"
	"pearknot/internal/controlplane/member"
	"pearknot/internal/controlsocket"
	"pearknot/internal/tomlfile"
)

// controlPlaneCommand runs a member of the control plane.
func controlPlaneCommand() *cobra.Command {
	name, level := "", slog.LevelInfo
	o := member.Options{Version: cli.Version()}
	c := &cobra.Command{Use: "control-plane FILE --name NAME", Args: cobra.ExactArgs(1),
		Short: "Run a member of the control plane in the foreground until SIGTERM",
		RunE: func(c *cobra.Command, args []string) error {
			p, err := readControlPlane(args[0])
			if err != nil {
				return err
			}
			return member.Run(c.Context(), p, name, o, slog.New(slog.NewTextHandler(c.ErrOrStderr(), &slog.HandlerOptions{Level: level})))
		}}
	c.Flags().StringVar(&name, "name", "", "which of the file's members this process is")
	c.Flags().BoolVar(&o.Bootstrap, "bootstrap", false, "a voter's first start: begin its store")
	c.Flags().StringVar(&o.Control, "control", "", "path of a control socket")
	c.Flags().TextVar(&level, "log", slog.LevelInfo, "minimum level of log lines: debug, info, warn, error")
	_ = c.MarkFlagRequired("name")
	return c
}

// readControlPlane reads the control plane's file.
func readControlPlane(file string) (*client.ControlPlane, error) {
	p, err := client.ReadFile(file)
	var odd *tomlfile.Error
	if err != nil && !errors.As(err, &odd) {
		return nil, cli.UsageError(err)
	}
	return p, err
}

// configTool is what the config commands have in common.
type configTool struct {
	file    string
	timeout time.Duration
	json    bool
}

// configCommand changes and shows the settings that the control plane holds.
func configCommand() *cobra.Command {
	t := &configTool{}
	c := &cobra.Command{Use: "config", Short: "The settings that the control plane holds: change them, look, go back",
		Long: "The settings that the control plane holds.\n\nExit status: 0 done, 1 failed, 2 a file can't be read or its settings can't be put in force, " +
			"3 another change came first,\nor a node is behind or refuses, or a member does not answer."}
	c.PersistentFlags().StringVar(&t.file, "file", "control-plane.toml", "file of the control plane")
	c.PersistentFlags().DurationVar(&t.timeout, "within", 10*time.Second, "how long to try")
	c.PersistentFlags().BoolVar(&t.json, "json", false, "as JSON")
	c.AddCommand(t.apply(), t.get(), t.log(), t.rollback(), t.status(), t.node())
	return c
}

// plane reads the control plane's file and returns a context with the command's timeout.
func (t *configTool) plane(c *cobra.Command) (*client.ControlPlane, context.Context, context.CancelFunc, error) {
	p, err := readControlPlane(t.file)
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(c.Context(), t.timeout)
	return p, ctx, cancel, nil
}

// changeFlags are the flags of commands that make a new version.
type changeFlags struct {
	base       uint64
	by, reason string
}

func (w *changeFlags) addTo(c *cobra.Command) *cobra.Command {
	c.Flags().Uint64Var(&w.base, "base", 0, "the version that the change was made from (default: the head as the command begins)")
	c.Flags().StringVar(&w.by, "by", caller(), "who changes")
	c.Flags().StringVar(&w.reason, "reason", "", "why, for the log")
	return c
}

// caller returns the user's name, or nothing if the system has none.
func caller() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

// baseVersion returns the version that the change is based on: --base, also an explicit 0, or the head.
func (w *changeFlags) baseVersion(ctx context.Context, c *cobra.Command, p *client.ControlPlane) (uint64, error) {
	if c.Flags().Changed("base") {
		return w.base, nil
	}
	return p.HeadVersion(ctx)
}

// printVersion prints the version that was made, or returns why there is none.
func (t *configTool) printVersion(c *cobra.Command, version uint64, err error) error {
	var conflict *client.ConflictError
	switch {
	case errors.As(err, &conflict):
		return &cli.Error{Status: cli.StatusCheckFailed, Err: err}
	case err != nil:
		return err
	case t.json:
		return json.NewEncoder(c.OutOrStdout()).Encode(map[string]uint64{"version": version})
	}
	_, err = fmt.Fprintln(c.OutOrStdout(), "version", version)
	return err
}

func (t *configTool) apply() *cobra.Command {
	w := &changeFlags{}
	return w.addTo(&cobra.Command{Use: "apply FILE", Args: cobra.ExactArgs(1), Short: "Make a file of settings the next version; it is on a majority's disks when this ends",
		RunE: func(c *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return cli.UsageError(err)
			}
			if _, err := controlplane.Parse(text); err != nil {
				return wrongSettings(args[0], err)
			}
			p, ctx, cancel, err := t.plane(c)
			if err != nil {
				return err
			}
			defer cancel()
			base, err := w.baseVersion(ctx, c, p)
			if err != nil {
				return err
			}
			version, err := p.Apply(ctx, base, text, w.by, w.reason)
			var invalid *client.InvalidError
			if errors.As(err, &invalid) {
				line, column := settingPlace(text, invalid.Detail)
				return &tomlfile.Error{File: args[0], Line: line, Column: column, What: invalid.Detail}
			}
			return t.printVersion(c, version, err)
		}})
}

var linePrefix = regexp.MustCompile(`^(\d+):(\d+): `)

// wrongSettings adds the file to an error that begins with line:column.
func wrongSettings(file string, err error) error {
	m := linePrefix.FindStringSubmatch(err.Error())
	if m == nil {
		return &tomlfile.Error{File: file, Line: 1, Column: 1, What: err.Error()}
	}
	line, _ := strconv.Atoi(m[1])
	column, _ := strconv.Atoi(m[2])
	return &tomlfile.Error{File: file, Line: line, Column: column, What: err.Error()[len(m[0]):]}
}

var settingInError = regexp.MustCompile(`setting ([A-Za-z0-9_.]+)`)

// settingPlace returns the place of the setting that an error names, or of the nearest object that should contain it.
func settingPlace(text []byte, why string) (line, column int) {
	at := 0
	if m := settingInError.FindStringSubmatch(why); m != nil {
		places := settingPlaces(text)
		for path := strings.TrimSuffix(m[1], "."); ; {
			if k, ok := places[path]; ok {
				at = k
				break
			}
			cut := strings.LastIndexByte(path, '.')
			if cut < 0 {
				break
			}
			path = path[:cut]
		}
	}
	before := text[:at]
	return 1 + bytes.Count(before, []byte("\n")), at - bytes.LastIndexByte(before, '\n')
}

// settingPlaces returns the offsets at which the keys and list elements of a JSON text begin, by path; elements count from 0.
func settingPlaces(text []byte) map[string]int {
	found := map[string]int{}
	d := json.NewDecoder(bytes.NewReader(text))
	var value func(path string) error
	under := func(path, key string) string { return strings.TrimPrefix(path+"."+key, ".") }
	value = func(path string) error {
		opened, err := d.Token()
		if err != nil || opened != json.Delim('{') && opened != json.Delim('[') {
			return err
		}
		for n := 0; d.More(); n++ {
			key := strconv.Itoa(n)
			if opened == json.Delim('{') {
				t, err := d.Token()
				if err != nil {
					return err
				}
				key = t.(string) // what the decoder gives in this place
				end := int(d.InputOffset())
				found[under(path, key)] = max(bytes.LastIndexByte(text[:end-1], '"'), 0)
			} else {
				start := int(d.InputOffset())
				found[under(path, key)] = start + len(text[start:]) - len(bytes.TrimLeft(text[start:], " \t\r\n,"))
			}
			if err := value(under(path, key)); err != nil {
				return err
			}
		}
		_, err = d.Token()
		return err
	}
	_ = value("")
	return found
}

func (t *configTool) get() *cobra.Command {
	version := uint64(0)
	c := &cobra.Command{Use: "get", Args: cobra.NoArgs, Short: "Print a version's settings", RunE: func(c *cobra.Command, _ []string) error {
		p, ctx, cancel, err := t.plane(c)
		if err != nil {
			return err
		}
		defer cancel()
		got, text, age, err := p.GetVersion(ctx, version)
		if err != nil {
			return err
		}
		t.warnIfStale(c, age)
		if t.json {
			return json.NewEncoder(c.OutOrStdout()).Encode(map[string]any{"version": got, "settings": json.RawMessage(text)})
		}
		_, err = c.OutOrStdout().Write(text)
		return err
	}}
	c.Flags().Uint64Var(&version, "version", 0, "which one (default: the head)")
	return c
}

// warnIfStale warns of an answer that no majority of the voters confirms.
func (t *configTool) warnIfStale(c *cobra.Command, age *float64) {
	switch {
	case age == nil:
		fmt.Fprintln(c.ErrOrStderr(), "pearknot: no voter that answers knows how old this is")
	case *age > client.MaxBehindMs:
		fmt.Fprintf(c.ErrOrStderr(), "pearknot: this may be %.0f s old: no majority of the voters is reached\n", *age/1e3)
	}
}

func (t *configTool) log() *cobra.Command {
	most := 20
	c := &cobra.Command{Use: "log", Args: cobra.NoArgs, Short: "The last changes: who, when, why", RunE: func(c *cobra.Command, _ []string) error {
		p, ctx, cancel, err := t.plane(c)
		if err != nil {
			return err
		}
		defer cancel()
		entries, age, err := p.RecentChanges(ctx, most)
		if err != nil {
			return err
		}
		t.warnIfStale(c, age)
		if t.json {
			return json.NewEncoder(c.OutOrStdout()).Encode(entries)
		}
		w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "version\tat\tby\tdigest\tid\treason")
		for _, e := range entries {
			fmt.Fprintf(w, "%d\t%s\t%s\t%.12s\t%s\t%s\n", e.Version, time.UnixMilli(int64(e.ProposedAtMs)).UTC().Format(time.RFC3339), e.By, e.Digest, e.ID, e.Reason)
		}
		return w.Flush()
	}}
	c.Flags().IntVarP(&most, "lines", "n", 20, "changes at most")
	return c
}

func (t *configTool) rollback() *cobra.Command {
	w, to := &changeFlags{}, uint64(0)
	c := w.addTo(&cobra.Command{Use: "rollback --to VERSION", Args: cobra.NoArgs, Short: "Make an earlier version's settings the next version",
		RunE: func(c *cobra.Command, _ []string) error {
			p, ctx, cancel, err := t.plane(c)
			if err != nil {
				return err
			}
			defer cancel()
			base, err := w.baseVersion(ctx, c, p)
			if err != nil {
				return err
			}
			if w.reason == "" {
				w.reason = fmt.Sprintf("back to version %d", to)
			}
			version, err := p.Rollback(ctx, to, base, w.by, w.reason)
			if errors.Is(err, client.ErrVersionNotFound) {
				err = cli.UsageError(fmt.Errorf("version %d: %w", to, err))
			}
			return t.printVersion(c, version, err)
		}})
	c.Flags().Uint64Var(&to, "to", 0, "the version to go back to: see log")
	_ = c.MarkFlagRequired("to")
	return c
}

func (t *configTool) status() *cobra.Command {
	watch := false
	c := &cobra.Command{Use: "status", Args: cobra.NoArgs,
		Short: "The version, the members, nodes behind and by how long; 3 while one is behind for over 6 s or refuses, or a member does not answer",
		RunE: func(c *cobra.Command, _ []string) error {
			for {
				p, ctx, cancel, err := t.plane(c)
				if err != nil {
					return err
				}
				r := client.NewReport(p.MemberStatuses(ctx))
				cancel()
				if watch && !t.json {
					fmt.Fprint(c.OutOrStdout(), "\x1b[H\x1b[2J") // the top of a cleared screen
				}
				if err := t.tellReport(c.OutOrStdout(), r); err != nil {
					return err
				}
				if !watch {
					if fault := r.FirstProblem(); fault != "" {
						return &cli.Error{Status: cli.StatusCheckFailed, Err: errors.New(fault), Silent: true}
					}
					return nil
				}
				select {
				case <-c.Context().Done():
					return nil
				case <-time.After(time.Second):
				}
			}
		}}
	c.Flags().BoolVar(&watch, "watch", false, "again every second")
	return c
}

func (t *configTool) tellReport(out io.Writer, r *client.Report) error {
	if t.json {
		return json.NewEncoder(out).Encode(r)
	}
	leader := r.Leader
	if leader == "" {
		leader = "none known"
	}
	fmt.Fprintf(out, "version %d, digest %.12s, leader %s\n", r.Version, r.Digest, leader)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "member\tregion\trole\thead\tage\tnodes\tfollows")
	for _, m := range r.Members {
		role := "relay"
		if m.Voter {
			role = "voter"
		}
		if m.UnreachableReason != "" {
			fmt.Fprintf(w, "%s\t%s\t%s\tunknown\t\t\t%s\n", m.Name, m.Region, role, m.UnreachableReason)
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\t%s\n", m.Name, m.Region, role, m.Head, seconds(m.StalenessMs), m.Nodes, m.Follows)
	}
	fmt.Fprintln(w, "region\tnodes\tbehind\tworst")
	for _, g := range r.Regions {
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", g.Region, g.Nodes, g.Behind, seconds(&g.WorstBehindMs))
	}
	if len(r.Behind) > 0 {
		fmt.Fprintln(w, "node behind\tregion\tin force\theld\tfor\tmember\trefuses")
	}
	for _, n := range r.Behind {
		refuses := ""
		if n.RejectedVersion > n.AppliedVersion {
			refuses = fmt.Sprintf("%d: %s", n.RejectedVersion, n.RejectReason)
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\t%s\n", n.Name, n.Region, n.AppliedVersion, n.StoredVersion, seconds(&n.BehindMs), n.Member, refuses)
	}
	return w.Flush()
}

func seconds(ms *float64) string {
	if ms == nil {
		return "unknown"
	}
	return fmt.Sprintf("%.1f s", *ms/1e3)
}

// node shows what a node has in force, by its own word.
func (t *configTool) node() *cobra.Command {
	return &cobra.Command{Use: "node SOCKET", Args: cobra.ExactArgs(1), Short: "What a node has in force, by its own word at its control socket",
		RunE: func(c *cobra.Command, args []string) error {
			var s controlsocket.Status
			if err := controlsocket.NewClient(args[0], dialTimeout).Call(c.Context(), "GET", controlsocket.StatusPath, nil, &s); err != nil {
				return err
			}
			if s.ControlPlane == nil {
				return fmt.Errorf("%s follows no control plane: it was started without --control-plane", s.Name)
			}
			p := s.ControlPlane
			if t.json {
				return json.NewEncoder(c.OutOrStdout()).Encode(p)
			}
			follows := p.FollowedMember
			if follows == "" {
				follows = "nobody"
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: version %d in force, digest %.12s, age %s, follows %s\n", s.Name, p.ActiveVersion, p.Digest, seconds(p.AgeMs), follows)
			if p.RejectedVersion > p.ActiveVersion {
				fmt.Fprintf(c.OutOrStdout(), "version %d refused: %s\n", p.RejectedVersion, p.RejectReason)
			}
			return nil
		}}
}
