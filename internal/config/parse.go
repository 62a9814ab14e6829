package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// ErrNoObject is returned for a JSON text that is not an object.
var ErrNoObject = errors.New("settings: no object")

// ParseLines parses path=value lines, the simulator's format. Lines without a "=" are ignored. The error is a *SettingError.
func ParseLines(data []byte) (*Deployment, error) {
	s := &settings{values: map[string]string{}}
	for line := range strings.Lines(string(data)) {
		if path, value, found := strings.Cut(strings.TrimRight(line, "\r\n"), "="); found {
			s.values[path] = value
		}
	}
	return s.deployment()
}

// ParseJSON parses nested settings, which have the same paths as in lines. The error is a *SettingError, ErrNoObject, or one
// of the JSON decoder's.
func ParseJSON(data []byte) (*Deployment, error) {
	tree, err := decodeObject(data)
	if err != nil {
		return nil, err
	}
	return parseTree(tree)
}

// nodeSettings are the settings that differ between the nodes of one deployment.
var nodeSettings = []string{"az", "me"}

// ParseShared parses settings that are the same for all nodes of a deployment, as the control plane distributes them. The
// zone, the seed and, if local's settings contain one, the index are taken from local, whatever the shared text has for them.
// If local is nil, as for a check, the zone and the index are set to 0, and the seed remains 0.
func ParseShared(data []byte, local *Deployment) (*Deployment, error) {
	tree, err := decodeObject(data)
	if err != nil {
		return nil, err
	}
	for _, key := range nodeSettings {
		delete(tree, key)
	}
	jsonNumber := func(x int) json.Number { return json.Number(strconv.Itoa(x)) }
	if local == nil {
		tree["az"], tree["me"] = jsonNumber(0), jsonNumber(0)
	} else {
		tree["az"] = jsonNumber(local.BalancerConfig.Zone)
		if local.present.outsideLists["me"] {
			tree["me"] = jsonNumber(local.BalancerConfig.NodeIndex)
		}
	}
	d, err := parseTree(tree)
	if err == nil && local != nil {
		d.BalancerConfig.Seed = local.BalancerConfig.Seed
	}
	return d, err
}

func decodeObject(data []byte) (tree map[string]any, err error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber() // numbers keep their text, so that JSON and lines are parsed alike
	if err := decoder.Decode(&tree); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if tree == nil {
		return nil, ErrNoObject
	}
	return tree, nil
}

func parseTree(tree map[string]any) (*Deployment, error) {
	s := &settings{values: map[string]string{}}
	s.flatten("", tree)
	d, err := s.deployment()
	if err != nil {
		return nil, err
	}
	d.Topology = s.topology(d)
	d.present = s.present()
	for k, name := range d.Classes { // requests select their class by name
		if name == "" || slices.Index(d.Classes, name) < k {
			s.fail(fmt.Sprintf("categories.%d.name", k), "is missing or another's: %q", name)
		}
	}
	return d, s.err
}

// flatten adds the scalar values below path, each under its own path.
func (s *settings) flatten(path string, value any) {
	switch x := value.(type) {
	case map[string]any:
		for key, item := range x {
			s.flatten(joinPath(path, key), item)
		}
	case []any:
		if path == "tenants" {
			s.readTenantList(x)
		}
		s.flattenList(path, x)
	case nil:
	default:
		s.values[path] = scalarText(x)
	}
}

// flattenList adds a list of scalars as one value, joined by commas, and a list of objects as the values of each object and a
// count.
func (s *settings) flattenList(path string, items []any) {
	scalars := make([]string, 0, len(items))
	for k, item := range items {
		if _, isObject := item.(map[string]any); !isObject {
			scalars = append(scalars, scalarText(item))
		} else if path != "tenants" {
			s.flatten(joinPath(path, strconv.Itoa(k)), item)
		}
	}
	if len(scalars) == len(items) {
		s.values[path] = strings.Join(scalars, ",")
	} else {
		s.values[joinPath(path, "count")] = strconv.Itoa(len(items))
	}
}

// readTenantList stores the tenants' names and quotas in s.tenants instead of under a path for each value, since there may be
// very many. An item that is not an object is a tenant
// without name and quota.
func (s *settings) readTenantList(items []any) {
	s.tenants = make([]tenantSetting, len(items))
	for k, item := range items {
		if object, isObject := item.(map[string]any); isObject {
			s.tenants[k] = tenantSetting{scalarText(object["name"]), scalarText(object["quotaPerS"])}
		}
	}
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// scalarText returns the text of a scalar as in lines; that of nil is empty.
func scalarText(value any) string {
	switch x := value.(type) {
	case string:
		return NormalizeName(x)
	case nil:
		return ""
	default:
		return fmt.Sprint(x)
	}
}

// NormalizeName returns a name as it is written in lines, where blanks and commas separate values: it replaces them with
// underscores.
func NormalizeName(name string) string {
	return strings.Map(func(r rune) rune {
		if r == ' ' || r == ',' {
			return '_'
		}
		return r
	}, name)
}
