package config

import (
	"errors"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
)

// keys are those of settings as they were read: the plain ones, and those of each category with its effect.
type keys struct {
	plain      map[string]bool
	categories []categoryKeys
}

type categoryKeys struct {
	effect string
	keys   map[string]bool
}

var inList = regexp.MustCompile(`^([^.]+)\.(\d+)\.(.+)$`)

func (p *pairs) keys() keys {
	k := keys{plain: map[string]bool{}}
	each := map[string]map[string]bool{}
	for path := range p.values {
		if m := inList.FindStringSubmatch(path); m == nil {
			k.plain[strings.TrimSuffix(path, ".count")] = true // an empty list has none to count
		} else if m[1] == "categories" {
			if each[m[2]] == nil {
				each[m[2]] = map[string]bool{}
			}
			each[m[2]][m[3]] = true
		}
	}
	for _, number := range slices.Sorted(maps.Keys(each)) {
		k.categories = append(k.categories, categoryKeys{p.values["categories."+number+".idempotency"], each[number]})
	}
	return k
}

// Follows tells why these settings can't take the place of others while a node runs, if they can't: they lack a key that
// those have, which a start would have to guess, or name other places, by whose numbers the list of backends was read.
func (d *Deployment) Follows(old *Deployment) error {
	for _, key := range slices.Sorted(maps.Keys(old.keys.plain)) {
		if !d.keys.plain[key] {
			return fmt.Errorf("setting %s is missing", key)
		}
	}
	for n, c := range d.keys.categories {
		for _, key := range slices.Sorted(maps.Keys(old.keys.common(c.effect))) {
			if !c.keys[key] {
				return fmt.Errorf("setting categories.%d.%s is missing", n, key)
			}
		}
	}
	switch {
	case len(d.Classes) == 0 && len(old.Classes) > 0:
		return errors.New("setting categories is empty")
	case !slices.Equal(d.Zones, old.Zones):
		return fmt.Errorf("setting zones is %v, and only a start takes up others than %v", d.Zones, old.Zones)
	case !slices.Equal(d.Kinds, old.Kinds):
		return fmt.Errorf("setting kinds is %v, and only a start takes up others than %v", d.Kinds, old.Kinds)
	}
	return nil
}

// common are the keys that all categories have, and all of one effect.
func (k keys) common(effect string) map[string]bool {
	shared := func(of func(categoryKeys) bool) map[string]bool {
		var all map[string]bool
		for _, c := range k.categories {
			switch {
			case !of(c):
			case all == nil:
				all = maps.Clone(c.keys)
			default:
				maps.DeleteFunc(all, func(key string, _ bool) bool { return !c.keys[key] })
			}
		}
		return all
	}
	need := map[string]bool{}
	maps.Copy(need, shared(func(categoryKeys) bool { return true }))
	for _, key := range ofToken { // another effect needs none of them
		delete(need, key)
	}
	maps.Copy(need, shared(func(c categoryKeys) bool { return c.effect == effect }))
	return need
}

// ofToken are the keys that only a deduplicated category means anything by.
var ofToken = []string{"keyTtl", "dedupScope"}
