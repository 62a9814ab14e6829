package main

import (
	"errors"
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"pearknot/internal/cli"
	"pearknot/internal/lab/scale"
)

// scaleCommand plays the control plane at size.
func scaleCommand() *cobra.Command {
	p, fair, out, dir := &plan{}, false, "", ""
	c := &cobra.Command{Use: "scale FILE", Short: "Play the control plane at size: real members, real nodes under load, hundreds of hollow nodes in a process",
		Args: cobra.ExactArgs(1), Long: `scale starts the control plane's members, a few real nodes under load and hollow ones beside them, which are the node's own
control-plane code without a data path, with a relay on each link. Changes are committed meanwhile and faults put on by the file's
schedule. What each node has in force, by its own answers, is held against what was committed and when.

Exit status: 0 done and all bounds hold, 1 failed or interrupted, 2 the file can't be read, or the run would take over half of this
machine's memory, over 300 processes, or more than the file says, 3 a bound doesn't hold.`,
		RunE: func(c *cobra.Command, args []string) error {
			e, err := scale.Read(args[0])
			if err != nil {
				return cli.UsageIfNotExist(err)
			}
			start, clean, err := p.command(c.Context(), "cda")
			if err != nil {
				return err
			}
			defer clean()
			self, err := os.Executable()
			if err != nil {
				return err
			}
			r, err := scale.Run(c.Context(), e, scale.Options{Pearknot: start[0], HollowCommand: []string{self, "hollow"}, Out: c.ErrOrStderr(), Fair: fair, Dir: dir})
			var big *scale.TooBigError
			switch {
			case errors.As(err, &big):
				return cli.UsageError(err)
			case err != nil:
				return err
			}
			if out != "" {
				if err := writeResult(out, r); err != nil {
					return err
				}
			}
			r.Print(c.OutOrStdout())
			if len(r.Violations) > 0 {
				return &cli.Error{Status: cli.StatusCheckFailed, Err: errBroken, Silent: true}
			}
			return nil
		}}
	c.Flags().StringVar(&p.pearknot, "pearknot", "", "the node's program; else the one beside this, else it is built")
	c.Flags().BoolVar(&fair, "fair", false, "eight hollow nodes beside eight real ones, which must cost the same within a tenth")
	c.Flags().StringVar(&dir, "dir", "", "keep files and logs there")
	c.Flags().StringVar(&out, "out", "", "file for the result too")
	return c
}

func writeResult(name string, r *scale.Report) error {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	r.Print(f)
	return f.Close()
}

// hollowCommand is a process of hollow nodes, as scale starts it.
func hollowCommand() *cobra.Command {
	return &cobra.Command{Use: "hollow FILE", Hidden: true, Args: cobra.ExactArgs(1), RunE: func(c *cobra.Command, args []string) error {
		return cli.UsageIfNotExist(scale.RunHollow(c.Context(), args[0], slog.New(slog.NewTextHandler(c.ErrOrStderr(), &slog.HandlerOptions{Level: slog.LevelWarn}))))
	}}
}
