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

// FromJSON reads nested settings, whose paths are those of the lines.
func FromJSON(data []byte) (*Deployment, error) {
	tree, err := decode(data)
	if err != nil {
		return nil, err
	}
	return fromTree(tree)
}

// ownKeys are those that tell nodes of one deployment apart.
var ownKeys = []string{"az", "me"}

// Shared reads settings that all nodes of a deployment are given alike: where a node stands and which one it is are as own has
// them, and the seed; whatever the shared text says of them counts for nobody. Without an own, for a check, they are 0.
func Shared(data []byte, own *Deployment) (*Deployment, error) {
	tree, err := decode(data)
	if err != nil {
		return nil, err
	}
	for _, key := range ownKeys {
		delete(tree, key)
	}
	number := func(x int) json.Number { return json.Number(strconv.Itoa(x)) }
	switch {
	case own == nil:
		tree["az"], tree["me"] = number(0), number(0)
	case own.keys.plain["me"]:
		tree["me"] = number(own.Balancer.NodeIndex)
		fallthrough
	default:
		tree["az"] = number(own.Balancer.Zone)
	}
	d, err := fromTree(tree)
	if err == nil && own != nil {
		d.Balancer.Seed = own.Balancer.Seed
	}
	return d, err
}

func decode(data []byte) (tree map[string]any, err error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber() // a number keeps its text, as in the lines
	if err := d.Decode(&tree); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if tree == nil {
		return nil, errors.New("settings: no object")
	}
	return tree, nil
}

func fromTree(tree map[string]any) (*Deployment, error) {
	p := &pairs{values: map[string]string{}}
	p.flatten("", tree)
	told, err := p.deployment()
	if err != nil {
		return nil, err
	}
	told.Shape = p.shape(told)
	told.keys = p.keys()
	for k, name := range told.Classes { // by which ops come
		if p.err == nil && (name == "" || slices.Index(told.Classes, name) < k) {
			p.err = fmt.Errorf("setting categories.%d.name is missing or another's: %q", k, name)
		}
	}
	return told, p.err
}

// Name puts a name into the form that it has in lines, where blanks and commas part values.
func Name(s string) string {
	return strings.Map(func(r rune) rune {
		if r == ' ' || r == ',' {
			return '_'
		}
		return r
	}, s)
}

func (p *pairs) flatten(path string, v any) {
	under := func(key string) string {
		if path == "" {
			return key
		}
		return path + "." + key
	}
	switch x := v.(type) {
	case map[string]any:
		for key, item := range x {
			p.flatten(under(key), item)
		}
	case []any:
		if path == "tenants" {
			p.tenants = make([]tenant, len(x))
			for k, item := range x {
				if item, ok := item.(map[string]any); ok {
					p.tenants[k] = tenant{scalar(item["name"]), scalar(item["quotaPerS"])}
				}
			}
		}
		plain := make([]string, 0, len(x))
		for k, item := range x {
			if _, ok := item.(map[string]any); ok {
				if path != "tenants" {
					p.flatten(under(strconv.Itoa(k)), item)
				}
			} else {
				plain = append(plain, scalar(item))
			}
		}
		if len(plain) == len(x) {
			p.values[path] = strings.Join(plain, ",")
		} else {
			p.values[under("count")] = strconv.Itoa(len(x))
		}
	case nil:
	default:
		p.values[path] = scalar(x)
	}
}

func scalar(v any) string {
	switch x := v.(type) {
	case string:
		return Name(x)
	case nil:
		return ""
	default:
		return fmt.Sprint(x)
	}
}
