package main

import (
	"errors"
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"pearknot/internal/cli"
	"pearknot/internal/lab/scale"
)

// scaleTool holds the flags of scale.
type scaleTool struct {
	playOptions
	compareHollow bool
	outFile       string
	dir           string
}

// scaleCommand plays the control plane at size.
func scaleCommand() *cobra.Command {
	tool := &scaleTool{}
	command := &cobra.Command{
		Use:   "scale FILE",
		Short: "Play the control plane at size: real members, real nodes under load, hundreds of hollow nodes in a process",
		Long: `scale starts the control plane's members, a few real nodes under load and hollow ones beside them, which are the node's own
control-plane code without a data path, with a relay on each link. Changes are committed meanwhile and faults put on by the file's
schedule. What each node has in force, by its own answers, is held against what was committed and when.

Exit status: 0 done and all bounds hold, 1 failed or interrupted, 2 the file can't be read, or the run would take over half of this
machine's memory, over 300 processes, or more than the file says, 3 a bound doesn't hold.`,
		Args: cobra.ExactArgs(1),
		RunE: tool.run,
	}
	flags := command.Flags()
	tool.addProgramFlagTo(command)
	flags.BoolVar(&tool.compareHollow, "fair", false,
		"eight hollow nodes beside eight real ones, which must cost the same within a tenth")
	flags.StringVar(&tool.dir, "dir", "", "keep files and logs there")
	flags.StringVar(&tool.outFile, "out", "", "file for the result too")
	return command
}

func (t *scaleTool) run(command *cobra.Command, args []string) error {
	file, err := scale.Read(args[0])
	if err != nil {
		return cli.UsageIfNotExist(err)
	}
	nodeCommand, cleanUp, err := t.nodeCommandLine(command.Context(), balancerPolicy)
	if err != nil {
		return err
	}
	defer cleanUp()
	self, err := os.Executable()
	if err != nil {
		return err
	}
	result, err := scale.Run(command.Context(), file, scale.Options{
		Pearknot:      nodeCommand[0],
		HollowCommand: []string{self, "hollow"},
		Out:           command.ErrOrStderr(),
		CompareHollow: t.compareHollow,
		Dir:           t.dir,
	})
	var tooBig *scale.TooBigError
	switch {
	case errors.As(err, &tooBig):
		return cli.UsageError(err)
	case err != nil:
		return err
	}
	if t.outFile != "" {
		if err := writeScaleResult(t.outFile, result); err != nil {
			return err
		}
	}
	result.Print(command.OutOrStdout())
	if len(result.Violations) > 0 {
		return errRuleBroken
	}
	return nil
}

func writeScaleResult(name string, result *scale.Report) error {
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	result.Print(file)
	return file.Close()
}

// hollowCommand is a process of hollow nodes, as scale starts it.
func hollowCommand() *cobra.Command {
	return &cobra.Command{
		Use:    "hollow FILE",
		Hidden: true,
		Args:   cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			handler := slog.NewTextHandler(command.ErrOrStderr(), &slog.HandlerOptions{Level: slog.LevelWarn})
			return cli.UsageIfNotExist(scale.RunHollow(command.Context(), args[0], slog.New(handler)))
		},
	}
}
