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

// controlPlaneFlags are the flags of control-plane.
type controlPlaneFlags struct {
	name     string
	logLevel slog.Level
	options  member.Options
}

// controlPlaneCommand runs a member of the control plane.
func controlPlaneCommand() *cobra.Command {
	memberFlags := &controlPlaneFlags{options: member.Options{Version: cli.Version()}}
	command := &cobra.Command{
		Use:   "control-plane FILE --name NAME",
		Short: "Run a member of the control plane in the foreground until SIGTERM",
		Args:  cobra.ExactArgs(1),
		RunE:  memberFlags.run,
	}
	flags := command.Flags()
	flags.StringVar(&memberFlags.name, "name", "", "which of the file's members this process is")
	flags.BoolVar(&memberFlags.options.Bootstrap, "bootstrap", false, "a voter's first start: begin its store")
	flags.StringVar(&memberFlags.options.Control, "control", "", "path of a control socket")
	flags.TextVar(&memberFlags.logLevel, "log", slog.LevelInfo, "minimum level of log lines: debug, info, warn, error")
	_ = command.MarkFlagRequired("name")
	return command
}

func (f *controlPlaneFlags) run(command *cobra.Command, args []string) error {
	controlPlane, err := readControlPlane(args[0])
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(command.ErrOrStderr(), &slog.HandlerOptions{Level: f.logLevel}))
	return member.Run(command.Context(), controlPlane, f.name, f.options, log)
}

// readControlPlane reads the control plane's file. An error in its text says the place; any other is one of usage.
func readControlPlane(file string) (*client.ControlPlane, error) {
	controlPlane, err := client.ReadFile(file)
	var textErr *tomlfile.Error
	if err != nil && !errors.As(err, &textErr) {
		return nil, cli.UsageError(err)
	}
	return controlPlane, err
}

// configTool is what the config commands have in common: the values of their flags.
type configTool struct {
	file    string
	timeout time.Duration
	json    bool
}

// configCommand changes and shows the settings that the control plane holds.
func configCommand() *cobra.Command {
	tool := &configTool{}
	root := &cobra.Command{
		Use:   "config",
		Short: "The settings that the control plane holds: change them, look, go back",
		Long: "The settings that the control plane holds.\n\n" +
			"Exit status: 0 done, 1 failed, 2 a file can't be read or its settings can't be put in force, " +
			"3 another change came first,\nor a node is behind or refuses, or a member does not answer.",
	}
	flags := root.PersistentFlags()
	flags.StringVar(&tool.file, "file", "control-plane.toml", "file of the control plane")
	flags.DurationVar(&tool.timeout, "within", 10*time.Second, "how long to try")
	flags.BoolVar(&tool.json, "json", false, "as JSON")
	root.AddCommand(
		tool.applyCommand(),
		tool.getCommand(),
		tool.logCommand(),
		tool.rollbackCommand(),
		tool.statusCommand(),
		tool.nodeCommand(),
	)
	return root
}

// controlPlane reads the control plane's file and returns a context with the command's timeout.
func (t *configTool) controlPlane(
	command *cobra.Command,
) (*client.ControlPlane, context.Context, context.CancelFunc, error) {
	controlPlane, err := readControlPlane(t.file)
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(command.Context(), t.timeout)
	return controlPlane, ctx, cancel, nil
}

// changeFlags are the flags of commands that make a new version.
type changeFlags struct {
	base   uint64
	by     string
	reason string
}

// addTo adds the flags to a command.
func (f *changeFlags) addTo(command *cobra.Command) *cobra.Command {
	flags := command.Flags()
	flags.Uint64Var(&f.base, "base", 0,
		"the version that the change was made from (default: the head as the command begins)")
	flags.StringVar(&f.by, "by", caller(), "who changes")
	flags.StringVar(&f.reason, "reason", "", "why, for the log")
	return command
}

// caller returns the user's name, or nothing if the system has none.
func caller() string {
	if account, err := user.Current(); err == nil {
		return account.Username
	}
	return ""
}

// baseVersion returns the version that the change is based on: --base, also an explicit 0, or the head.
func (f *changeFlags) baseVersion(
	ctx context.Context, command *cobra.Command, controlPlane *client.ControlPlane,
) (uint64, error) {
	if command.Flags().Changed("base") {
		return f.base, nil
	}
	return controlPlane.HeadVersion(ctx)
}

// printVersion prints the version that was made, or returns why there is none.
func (t *configTool) printVersion(command *cobra.Command, version uint64, err error) error {
	var conflict *client.ConflictError
	switch {
	case errors.As(err, &conflict):
		return &cli.Error{Status: cli.StatusCheckFailed, Err: err}
	case err != nil:
		return err
	case t.json:
		return json.NewEncoder(command.OutOrStdout()).Encode(map[string]uint64{"version": version})
	}
	_, err = fmt.Fprintln(command.OutOrStdout(), "version", version)
	return err
}

// applyCommand makes a file of settings the next version.
func (t *configTool) applyCommand() *cobra.Command {
	change := &changeFlags{}
	return change.addTo(&cobra.Command{
		Use:   "apply FILE",
		Short: "Make a file of settings the next version; it is on a majority's disks when this ends",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return t.apply(command, args[0], change)
		},
	})
}

func (t *configTool) apply(command *cobra.Command, file string, change *changeFlags) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return cli.UsageError(err)
	}
	if _, err := controlplane.Parse(text); err != nil {
		return wrongSettings(file, err)
	}
	controlPlane, ctx, cancel, err := t.controlPlane(command)
	if err != nil {
		return err
	}
	defer cancel()
	base, err := change.baseVersion(ctx, command, controlPlane)
	if err != nil {
		return err
	}
	version, err := controlPlane.Apply(ctx, base, text, change.by, change.reason)
	var invalid *client.InvalidError
	if errors.As(err, &invalid) {
		line, column := settingPlace(text, invalid.Detail)
		return &tomlfile.Error{File: file, Line: line, Column: column, What: invalid.Detail}
	}
	return t.printVersion(command, version, err)
}

// linePrefix is the place with which errors of controlplane.Parse begin.
var linePrefix = regexp.MustCompile(`^(\d+):(\d+): `)

// wrongSettings adds the file to an error that begins with line:column.
func wrongSettings(file string, err error) error {
	match := linePrefix.FindStringSubmatch(err.Error())
	if match == nil {
		return &tomlfile.Error{File: file, Line: 1, Column: 1, What: err.Error()}
	}
	line, _ := strconv.Atoi(match[1])
	column, _ := strconv.Atoi(match[2])
	return &tomlfile.Error{File: file, Line: line, Column: column, What: err.Error()[len(match[0]):]}
}

// settingInError is how a member's error names a setting.
var settingInError = regexp.MustCompile(`setting ([A-Za-z0-9_.]+)`)

// settingPlace returns the place of the setting that an error names, or of the nearest object that should contain it.
func settingPlace(text []byte, reason string) (line, column int) {
	offset := 0
	if match := settingInError.FindStringSubmatch(reason); match != nil {
		offset = nearestOffset(settingOffsets(text), strings.TrimSuffix(match[1], "."))
	}
	before := text[:offset]
	return 1 + bytes.Count(before, []byte("\n")), offset - bytes.LastIndexByte(before, '\n')
}

// nearestOffset returns the offset of a path or of the nearest path above it, 0 if there is none.
func nearestOffset(offsets map[string]int, path string) int {
	for {
		if offset, ok := offsets[path]; ok {
			return offset
		}
		lastDot := strings.LastIndexByte(path, '.')
		if lastDot < 0 {
			return 0
		}
		path = path[:lastDot]
	}
}

// settingOffsets returns the offsets at which the keys and list elements of a JSON text begin, by path; elements count
// from 0. Of a text with an error it returns those before the error.
func settingOffsets(text []byte) map[string]int {
	scanner := &offsetScanner{text: text, decoder: json.NewDecoder(bytes.NewReader(text)), offsets: map[string]int{}}
	_ = scanner.scan("")
	return scanner.offsets
}

// offsetScanner collects offsets while a JSON text is decoded.
type offsetScanner struct {
	text    []byte
	decoder *json.Decoder
	offsets map[string]int
}

// scan reads the next value, whose path is given.
func (s *offsetScanner) scan(path string) error {
	opened, err := s.decoder.Token()
	if err != nil || opened != json.Delim('{') && opened != json.Delim('[') {
		return err
	}
	for index := 0; s.decoder.More(); index++ {
		var elementPath string
		if opened == json.Delim('{') {
			token, err := s.decoder.Token()
			if err != nil {
				return err
			}
			elementPath = joinPath(path, token.(string)) // the decoder gives a string for a key
			end := int(s.decoder.InputOffset())
			s.offsets[elementPath] = max(bytes.LastIndexByte(s.text[:end-1], '"'), 0)
		} else {
			elementPath = joinPath(path, strconv.Itoa(index))
			rest := s.text[s.decoder.InputOffset():]
			s.offsets[elementPath] = len(s.text) - len(bytes.TrimLeft(rest, " \t\r\n,"))
		}
		if err := s.scan(elementPath); err != nil {
			return err
		}
	}
	_, err = s.decoder.Token()
	return err
}

// joinPath returns the path of a key or element.
func joinPath(path, key string) string { return strings.TrimPrefix(path+"."+key, ".") }

// getCommand prints a version's settings.
func (t *configTool) getCommand() *cobra.Command {
	var version uint64
	command := &cobra.Command{
		Use:   "get",
		Short: "Print a version's settings",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return t.get(command, version)
		},
	}
	command.Flags().Uint64Var(&version, "version", 0, "which one (default: the head)")
	return command
}

func (t *configTool) get(command *cobra.Command, version uint64) error {
	controlPlane, ctx, cancel, err := t.controlPlane(command)
	if err != nil {
		return err
	}
	defer cancel()
	actual, text, age, err := controlPlane.GetVersion(ctx, version)
	if err != nil {
		return err
	}
	t.warnIfStale(command, age)
	if t.json {
		answer := map[string]any{"version": actual, "settings": json.RawMessage(text)}
		return json.NewEncoder(command.OutOrStdout()).Encode(answer)
	}
	_, err = command.OutOrStdout().Write(text)
	return err
}

// warnIfStale warns of an answer that no majority of the voters confirms.
func (t *configTool) warnIfStale(command *cobra.Command, age *float64) {
	switch {
	case age == nil:
		fmt.Fprintln(command.ErrOrStderr(), "pearknot: no voter that answers knows how old this is")
	case *age > client.MaxBehindMs:
		fmt.Fprintf(command.ErrOrStderr(),
			"pearknot: this may be %.0f s old: no majority of the voters is reached\n", *age/1e3)
	}
}

// logCommand prints the latest changes.
func (t *configTool) logCommand() *cobra.Command {
	var count int
	command := &cobra.Command{
		Use:   "log",
		Short: "The last changes: who, when, why",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return t.log(command, count)
		},
	}
	command.Flags().IntVarP(&count, "lines", "n", 20, "changes at most")
	return command
}

func (t *configTool) log(command *cobra.Command, count int) error {
	controlPlane, ctx, cancel, err := t.controlPlane(command)
	if err != nil {
		return err
	}
	defer cancel()
	changes, age, err := controlPlane.RecentChanges(ctx, count)
	if err != nil {
		return err
	}
	t.warnIfStale(command, age)
	if t.json {
		return json.NewEncoder(command.OutOrStdout()).Encode(changes)
	}
	table := tabwriter.NewWriter(command.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "version\tat\tby\tdigest\tid\treason")
	for _, change := range changes {
		proposedAt := time.UnixMilli(int64(change.ProposedAtMs)).UTC().Format(time.RFC3339)
		fmt.Fprintf(table, "%d\t%s\t%s\t%.12s\t%s\t%s\n",
			change.Version, proposedAt, change.By, change.Digest, change.ID, change.Reason)
	}
	return table.Flush()
}

// rollbackCommand makes an earlier version's settings the next version.
func (t *configTool) rollbackCommand() *cobra.Command {
	change, version := &changeFlags{}, uint64(0)
	command := change.addTo(&cobra.Command{
		Use:   "rollback --to VERSION",
		Short: "Make an earlier version's settings the next version",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return t.rollback(command, version, change)
		},
	})
	command.Flags().Uint64Var(&version, "to", 0, "the version to go back to: see log")
	_ = command.MarkFlagRequired("to")
	return command
}

func (t *configTool) rollback(command *cobra.Command, to uint64, change *changeFlags) error {
	controlPlane, ctx, cancel, err := t.controlPlane(command)
	if err != nil {
		return err
	}
	defer cancel()
	base, err := change.baseVersion(ctx, command, controlPlane)
	if err != nil {
		return err
	}
	if change.reason == "" {
		change.reason = fmt.Sprintf("back to version %d", to)
	}
	version, err := controlPlane.Rollback(ctx, to, base, change.by, change.reason)
	if errors.Is(err, client.ErrVersionNotFound) {
		err = cli.UsageError(fmt.Errorf("version %d: %w", to, err))
	}
	return t.printVersion(command, version, err)
}

// statusCommand prints the members and the nodes that are behind.
func (t *configTool) statusCommand() *cobra.Command {
	var watch bool
	command := &cobra.Command{
		Use: "status",
		Short: "The version, the members, nodes behind and by how long; " +
			"3 while one is behind for over 6 s or refuses, or a member does not answer",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return t.status(command, watch)
		},
	}
	command.Flags().BoolVar(&watch, "watch", false, "again every second")
	return command
}

func (t *configTool) status(command *cobra.Command, watch bool) error {
	for {
		controlPlane, ctx, cancel, err := t.controlPlane(command)
		if err != nil {
			return err
		}
		report := client.NewReport(controlPlane.MemberStatuses(ctx))
		cancel()
		if watch && !t.json {
			fmt.Fprint(command.OutOrStdout(), clearScreen)
		}
		if err := t.printReport(command.OutOrStdout(), report); err != nil {
			return err
		}
		if !watch {
			if problem := report.FirstProblem(); problem != "" {
				return &cli.Error{Status: cli.StatusCheckFailed, Err: errors.New(problem), Silent: true}
			}
			return nil
		}
		select {
		case <-command.Context().Done():
			return nil
		case <-time.After(watchInterval):
		}
	}
}

// printReport prints the state of the control plane: members, regions, and nodes that are behind.
func (t *configTool) printReport(out io.Writer, report *client.Report) error {
	if t.json {
		return json.NewEncoder(out).Encode(report)
	}
	leader := report.Leader
	if leader == "" {
		leader = "none known"
	}
	fmt.Fprintf(out, "version %d, digest %.12s, leader %s\n", report.Version, report.Digest, leader)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "member\tregion\trole\thead\tage\tnodes\tfollows")
	for _, member := range report.Members {
		role := "relay"
		if member.Voter {
			role = "voter"
		}
		if member.UnreachableReason != "" {
			fmt.Fprintf(table, "%s\t%s\t%s\tunknown\t\t\t%s\n",
				member.Name, member.Region, role, member.UnreachableReason)
			continue
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%d\t%s\n", member.Name, member.Region, role,
			member.Head, formatSeconds(member.StalenessMs), member.Nodes, member.Follows)
	}
	fmt.Fprintln(table, "region\tnodes\tbehind\tworst")
	for _, region := range report.Regions {
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\n",
			region.Region, region.Nodes, region.Behind, formatSeconds(&region.WorstBehindMs))
	}
	if len(report.Behind) > 0 {
		fmt.Fprintln(table, "node behind\tregion\tin force\theld\tfor\tmember\trefuses")
	}
	for _, node := range report.Behind {
		rejection := ""
		if node.RejectedVersion > node.AppliedVersion {
			rejection = fmt.Sprintf("%d: %s", node.RejectedVersion, node.RejectReason)
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%s\t%s\t%s\n", node.Name, node.Region,
			node.AppliedVersion, node.StoredVersion, formatSeconds(&node.BehindMs), node.Member, rejection)
	}
	return table.Flush()
}

// formatSeconds returns a number of ms as seconds, for a table.
func formatSeconds(ms *float64) string {
	if ms == nil {
		return "unknown"
	}
	return fmt.Sprintf("%.1f s", *ms/1e3)
}

// nodeCommand shows what a node has in force, by its own status.
func (t *configTool) nodeCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "node SOCKET",
		Short: "What a node has in force, by its own word at its control socket",
		Args:  cobra.ExactArgs(1),
		RunE:  t.node,
	}
}

func (t *configTool) node(command *cobra.Command, args []string) error {
	var status controlsocket.Status
	socket := controlsocket.NewClient(args[0], dialTimeout)
	if err := socket.Call(command.Context(), "GET", controlsocket.StatusPath, nil, &status); err != nil {
		return err
	}
	settings := status.ControlPlane
	if settings == nil {
		return fmt.Errorf("%s follows no control plane: it was started without --control-plane", status.Name)
	}
	if t.json {
		return json.NewEncoder(command.OutOrStdout()).Encode(settings)
	}
	followed := settings.FollowedMember
	if followed == "" {
		followed = "nobody"
	}
	fmt.Fprintf(command.OutOrStdout(), "%s: version %d in force, digest %.12s, age %s, follows %s\n",
		status.Name, settings.ActiveVersion, settings.Digest, formatSeconds(settings.AgeMs), followed)
	if settings.RejectedVersion > settings.ActiveVersion {
		fmt.Fprintf(command.OutOrStdout(), "version %d refused: %s\n", settings.RejectedVersion, settings.RejectReason)
	}
	return nil
}
