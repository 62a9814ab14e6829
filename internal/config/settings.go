package config

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// SettingError describes a fault in one setting. Operators see it in the output of pearknot check, in logs and as the reason
// why a node rejected a version of the configuration. Different builds exchange that reason, so the problem texts must not
// change.
type SettingError struct {
	Path    string // of the setting, as in path=value lines
	Problem string // such as "is missing"
}

func (e *SettingError) Error() string { return "setting " + e.Path + " " + e.Problem }

// settings holds the values of a configuration by their paths, as text. Methods that read a value don't return an error, so
// that a configuration can be read in one expression: the first error is kept in err, and values read after it must not be
// used.
type settings struct {
	values  map[string]string
	tenants []tenantSetting // from JSON, which may have very many: an entry in values for each would cost several times as much
	err     error
}

// tenantSetting holds the settings of a tenant as text.
type tenantSetting struct{ name, quota string }

// fail records the first error in err; later ones are ignored.
func (s *settings) fail(path, problem string, args ...any) {
	if s.err == nil {
		s.err = &SettingError{Path: path, Problem: fmt.Sprintf(problem, args...)}
	}
}

// text reads a value that is required but may be empty.
func (s *settings) text(path string) string {
	value, found := s.values[path]
	if !found {
		s.fail(path, "is missing")
	}
	return value
}

// number reads a finite number.
func (s *settings) number(path string) float64 {
	value := s.text(path)
	if s.err != nil {
		return 0
	}
	return s.parseNumber(path, value)
}

func (s *settings) parseNumber(path, value string) float64 {
	x, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		s.fail(path, "is no number: %q", value)
	}
	return x
}

// numberWithin returns a function that reads a number from low to high, both included.
func (s *settings) numberWithin(low, high float64) func(path string) float64 {
	return func(path string) float64 { return s.checkBounds(path, s.number(path), low, high) }
}

func (s *settings) checkBounds(path string, x, low, high float64) float64 {
	if x < low || x > high {
		s.fail(path, "is %v, not from %v to %v", x, low, high)
	}
	return x
}

// positive reads a number above 0.
func (s *settings) positive(path string) float64 {
	x := s.number(path)
	if x <= 0 {
		s.fail(path, "is %v, not above 0", x)
	}
	return x
}

func (s *settings) flag(path string) bool {
	value := s.text(path)
	if value != "true" && value != "false" {
		s.fail(path, "is neither true nor false: %q", value)
	}
	return value == "true"
}

// choice reads a value that must be one of choices, and returns its index in choices.
func (s *settings) choice(path string, choices ...string) int {
	value := s.text(path)
	if k := slices.Index(choices, value); k >= 0 {
		return k
	}
	s.fail(path, "has an unknown value: %q", value)
	return 0
}

// list reads the items of a list of scalars, which may be absent.
func (s *settings) list(path string) []string {
	if value := s.values[path]; value != "" {
		return strings.Split(value, ",")
	}
	return nil
}

// count reads the number of items in a list of objects. Each item must have at least one value, so that a false count can't
// make the reader allocate more than the size of the text.
func (s *settings) count(path string) int {
	n := s.number(path + ".count")
	if n < 0 || n != math.Trunc(n) || int(n) > len(s.values)+len(s.tenants) {
		s.fail(path+".count", "can't be: %v", n)
	}
	if s.err != nil {
		return 0
	}
	return int(n)
}

// tenant returns the settings of tenant k as text.
func (s *settings) tenant(k int) tenantSetting {
	if s.tenants != nil {
		return s.tenants[k]
	}
	path := fmt.Sprintf("tenants.%d.", k)
	return tenantSetting{s.values[path+"name"], s.values[path+"quotaPerS"]}
}

// quota parses the quota of tenant k, which may be absent. The setting's path is built only for an error, because there may be
// very many tenants.
func (s *settings) quota(k int, value string) float64 {
	if value == "" || s.err != nil {
		return 0
	}
	if x, err := strconv.ParseFloat(value, 64); err == nil && x >= 0 && x <= math.MaxFloat64 {
		return x
	}
	path := fmt.Sprintf("tenants.%d.quotaPerS", k)
	return s.checkBounds(path, s.parseNumber(path, value), 0, math.MaxFloat64)
}

// optional reads a setting, and returns defaultValue if it is absent or empty.
func optional[T any](s *settings, path string, read func(string) T, defaultValue T) T {
	if value, found := s.values[path]; found && value != "" {
		return read(path)
	}
	return defaultValue
}
