// Package report stores a result in a directory, and makes an HTML page of it that needs no other file: its plots are
// drawn into the page as SVG.
package report

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"pearknot/internal/lab/metrics"
)

// Names of the files in a result's directory.
const (
	ResultFile = "result.json"
	PageFile   = "report.html"
	EventsFile = "events.jsonl.zst" // written by the command, if it is asked for
)

// Write stores a result in a directory, which it creates if need be.
func Write(dir string, result metrics.Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	data, err := json.MarshalIndent(result, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, ResultFile), append(data, '\n'), 0o644)
}

// Read reads the result in a directory. It returns an error for a result of another version and for one without runs.
func Read(dir string) (metrics.Result, error) {
	name := filepath.Join(dir, ResultFile)
	data, err := os.ReadFile(name)
	if err != nil {
		return metrics.Result{}, err
	}
	var result metrics.Result
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(&result); err != nil {
		return metrics.Result{}, fmt.Errorf("%s: byte %d: %w", name, decoder.InputOffset(), err)
	}
	if result.Version != metrics.Version {
		return metrics.Result{}, fmt.Errorf("%s: version %d, this program reads %d", name, result.Version, metrics.Version)
	}
	if len(result.Runs) == 0 {
		return metrics.Result{}, fmt.Errorf("%s: no runs", name)
	}
	return result, nil
}

// WritePage writes the page of a result into its directory.
func WritePage(dir string, result metrics.Result) error {
	data, err := Render(result)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, PageFile), data, 0o644)
}
