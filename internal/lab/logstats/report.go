package logstats

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Write writes the statistics as tables for people.
func (s *Stats) Write(out io.Writer) error {
	var b strings.Builder
	s.writeCounts(&b, "attempts", s.AttemptOutcomes)
	s.writeCounts(&b, "connections opened", s.Dials)
	s.writeCounts(&b, "requests not served", s.NotServed)
	fmt.Fprintf(&b, "further attempts %d\n", s.FurtherAttempts)
	fmt.Fprintln(&b, "mean wait in ms by how long ago this node's last attempt there met no queue")
	for i, maxAge := range MaxAges {
		waits := s.WaitsAfterNoQueue[i]
		fmt.Fprintf(&b, "  under %4.0f ms %7.1f   %7d attempts\n", maxAge, waits.Value(), waits.N)
	}
	fmt.Fprintf(&b, "  others        %7.1f   %7d attempts\n", s.OtherWaits.Value(), s.OtherWaits.N)
	_, err := io.WriteString(out, b.String())
	return err
}

// writeCounts writes counts by name, and their ratio to the answered attempts.
func (s *Stats) writeCounts(b *strings.Builder, title string, counts map[string]int) {
	answered := float64(max(s.AttemptOutcomes["answered"], 1))
	fmt.Fprintln(b, title)
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(b, "  %-34s %7d   %.4f an answer\n", name, counts[name], float64(counts[name])/answered)
	}
}
