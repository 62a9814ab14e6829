package config

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// SettingError is the fault of one setting.
type SettingError struct {
	Path    string // of the setting, as in path=value lines
	Problem string // such as "is missing"
}

func (e *SettingError) Error() string { return "setting " + e.Path + " " + e.Problem }

// settings are the values of a configuration by their paths, as text. Reading goes on after a fault; the first one is kept
// in err, and what is read after it counts for nothing.
type settings struct {
	values  map[string]string
	tenants []tenantSetting // of JSON, which may have very many: a path for each value costs several times as much
	err     error
}

type tenantSetting struct{ name, quota string }

// fail keeps the first fault.
func (s *settings) fail(path, problem string, args ...any) {
	if s.err == nil {
		s.err = &SettingError{Path: path, Problem: fmt.Sprintf(problem, args...)}
	}
}

// text reads a value that must be there; it may be empty.
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

// numberWithin returns a reader of numbers with bounds, both of them allowed.
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

// choice reads a value that is one of some words, and gives its index among them.
func (s *settings) choice(path string, words ...string) int {
	value := s.text(path)
	if k := slices.Index(words, value); k >= 0 {
		return k
	}
	s.fail(path, "has an unknown value: %q", value)
	return 0
}

// list reads the items of a list of plain values, which may be absent.
func (s *settings) list(path string) []string {
	if value := s.values[path]; value != "" {
		return strings.Split(value, ",")
	}
	return nil
}

// count reads how many items a list of objects has. Each item needs a value of its own, so that no count can make the
// reader allocate more than the text's own size.
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

// tenant returns the text of one tenant.
func (s *settings) tenant(k int) tenantSetting {
	if s.tenants != nil {
		return s.tenants[k]
	}
	path := fmt.Sprintf("tenants.%d.", k)
	return tenantSetting{s.values[path+"name"], s.values[path+"quotaPerS"]}
}

// quota reads a tenant's, which may be absent. The path is only put together for a fault: there may be very many tenants.
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

// optional reads a setting that may be absent or empty; unset is what that means.
func optional[T any](s *settings, path string, read func(string) T, unset T) T {
	if value, found := s.values[path]; found && value != "" {
		return read(path)
	}
	return unset
}
