package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"pearknot/internal/cli"
	"pearknot/internal/lab/experiment"
)

// sweep plays an experiment's file once for each value of one of its keys.
type sweep struct {
	playOptions
	over string // KEY=a,b,c
}

// sweepCommand plays an experiment once for each value of a key.
func sweepCommand() *cobra.Command {
	sweep := &sweep{}
	command := &cobra.Command{
		Use:   "sweep FILE --over KEY=a,b,c",
		Short: "Play an experiment once for each value of one key",
		Long: `sweep plays the file once for each value. KEY is a key of the file, such as clients.load, fleet.nodes or policy; in a
list of tables it has a number: trouble.0.factor. Results go to a directory for each value under --out.`,
		Args: cobra.ExactArgs(1),
		RunE: sweep.run,
	}
	sweep.addTo(command)
	command.Flags().StringVar(&sweep.over, "over", "", "KEY=a,b,c")
	return command
}

func (s *sweep) run(command *cobra.Command, args []string) error {
	key, values, ok := strings.Cut(s.over, "=")
	if !ok || key == "" || values == "" {
		return cli.UsageError(fmt.Errorf("--over %q is not KEY=a,b,c", s.over))
	}
	text, err := os.ReadFile(args[0])
	if err != nil {
		return cli.UsageIfNotExist(err)
	}
	isBroken := false
	for value := range strings.SplitSeq(values, ",") {
		changed, err := setKey(text, key, value)
		if err != nil {
			return cli.UsageError(fmt.Errorf("--over: %w", err))
		}
		e, err := experiment.Decode(args[0], changed)
		if err != nil {
			return cli.UsageError(fmt.Errorf("with %s = %s: %w", key, value, err))
		}
		options := s.playOptions
		if err := options.applyTo(e); err != nil {
			return err
		}
		if s.outDir != "" {
			options.outDir = filepath.Join(s.outDir, value)
		}
		result, err := options.play(command.Context(), e, command.OutOrStdout())
		if err != nil {
			return err
		}
		fmt.Fprintf(command.OutOrStdout(), "%s = %s: ", key, value)
		if printResult(command.OutOrStdout(), result) != nil {
			isBroken = true
		}
	}
	if isBroken {
		return errRuleBroken
	}
	return nil
}

// setKey returns a TOML text in which a key has another value. A key that is missing is added to its table. The key is a
// name, or TABLE.name, or TABLE.NUMBER.name for the table of that number in a list of tables, counted from 0.
func setKey(text []byte, key, value string) ([]byte, error) {
	parts := strings.Split(key, ".")
	name, table := parts[len(parts)-1], parts[:len(parts)-1]
	lines := strings.Split(string(text), "\n")
	start, err := firstLineOfTable(lines, table)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", key, err)
	}
	assignment := name + " = " + tomlValue(value)
	for i := start; i < len(lines) && !strings.HasPrefix(strings.TrimSpace(lines[i]), "["); i++ {
		if existing, _, ok := strings.Cut(lines[i], "="); ok && strings.TrimSpace(existing) == name {
			lines[i] = assignment
			return []byte(strings.Join(lines, "\n")), nil
		}
	}
	return []byte(strings.Join(slices.Insert(lines, start, assignment), "\n")), nil
}

// tomlValue returns numbers and booleans as they are, and anything else as a string.
func tomlValue(value string) string {
	if _, err := strconv.ParseFloat(value, 64); err == nil || value == "true" || value == "false" {
		return value
	}
	return strconv.Quote(value)
}

// firstLineOfTable returns the index of the first line of a table: none is the top of the file, TABLE a table, and
// TABLE.NUMBER one of a list of tables.
func firstLineOfTable(lines, table []string) (int, error) {
	var header string
	number := 0
	switch len(table) {
	case 0:
		return 0, nil
	case 1:
		header = "[" + table[0] + "]"
	case 2:
		var err error
		if number, err = strconv.Atoi(table[1]); err != nil || number < 0 {
			return 0, fmt.Errorf("no number between table and key")
		}
		header = "[[" + table[0] + "]]"
	default:
		return 0, fmt.Errorf("too deep")
	}
	for i, line := range lines {
		if strings.TrimSpace(line) != header {
			continue
		}
		if number == 0 {
			return i + 1, nil
		}
		number--
	}
	return 0, fmt.Errorf("no such table in the file")
}
