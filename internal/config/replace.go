package config

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
)

// presentSettings holds the paths that are present in a configuration: those outside lists of objects, and those of each
// class.
type presentSettings struct {
	outsideLists map[string]bool
	classes      []presentClassSettings
}

type presentClassSettings struct {
	idempotency string
	keys        map[string]bool
}

// listItemPath matches the path of a value in a list of objects: the list, the index of the item, and the key.
var listItemPath = regexp.MustCompile(`^([^.]+)\.(\d+)\.(.+)$`)

func (s *settings) present() presentSettings {
	present := presentSettings{outsideLists: map[string]bool{}}
	keysByIndex := map[string]map[string]bool{}
	for path := range s.values {
		if match := listItemPath.FindStringSubmatch(path); match == nil {
			present.outsideLists[strings.TrimSuffix(path, ".count")] = true // an empty list has no count
		} else if match[1] == "categories" {
			if keysByIndex[match[2]] == nil {
				keysByIndex[match[2]] = map[string]bool{}
			}
			keysByIndex[match[2]][match[3]] = true
		}
	}
	for _, index := range slices.Sorted(maps.Keys(keysByIndex)) {
		idempotency := s.values["categories."+index+".idempotency"]
		present.classes = append(present.classes, presentClassSettings{idempotency, keysByIndex[index]})
	}
	return present
}

// CheckReplaces returns an error if this configuration can't replace old while a node runs. It can't if it lacks a setting that
// old has: a partially written file must not bring defaults into effect. Nor can it if its zones or kinds differ, because the
// endpoint list in use refers to them by index. The error is a *SettingError.
func (d *Deployment) CheckReplaces(old *Deployment) error {
	if err := d.checkPresent(old); err != nil {
		return err
	}
	switch {
	case len(d.Classes) == 0 && len(old.Classes) > 0:
		return &SettingError{"categories", "is empty"}
	case !slices.Equal(d.Zones, old.Zones):
		return &SettingError{"zones", fmt.Sprintf("is %v, and only a start takes up others than %v", d.Zones, old.Zones)}
	case !slices.Equal(d.Kinds, old.Kinds):
		return &SettingError{"kinds", fmt.Sprintf("is %v, and only a start takes up others than %v", d.Kinds, old.Kinds)}
	}
	return nil
}

// checkPresent returns an error for the first setting that old has and this configuration lacks.
func (d *Deployment) checkPresent(old *Deployment) error {
	for _, key := range slices.Sorted(maps.Keys(old.present.outsideLists)) {
		if !d.present.outsideLists[key] {
			return &SettingError{key, "is missing"}
		}
	}
	for n, class := range d.present.classes {
		for _, key := range slices.Sorted(maps.Keys(old.present.requiredKeys(class.idempotency))) {
			if !class.keys[key] {
				return &SettingError{fmt.Sprintf("categories.%d.%s", n, key), "is missing"}
			}
		}
	}
	return nil
}

// dedupSettings apply only to classes with an idempotency key, so other classes need not have them.
var dedupSettings = []string{"keyTtl", "dedupScope"}

// requiredKeys returns the settings that a class of this idempotency must have in a configuration that replaces this one: those
// that all classes have here, and those that all classes of its idempotency have here.
func (p presentSettings) requiredKeys(idempotency string) map[string]bool {
	required := map[string]bool{}
	maps.Copy(required, p.commonKeys(func(presentClassSettings) bool { return true }))
	for _, key := range dedupSettings {
		delete(required, key)
	}
	maps.Copy(required, p.commonKeys(func(class presentClassSettings) bool { return class.idempotency == idempotency }))
	return required
}

// commonKeys returns the settings that are present in every class for which include is true.
func (p presentSettings) commonKeys(include func(presentClassSettings) bool) map[string]bool {
	var common map[string]bool
	for _, class := range p.classes {
		switch {
		case !include(class):
		case common == nil:
			common = maps.Clone(class.keys)
		default:
			maps.DeleteFunc(common, func(key string, _ bool) bool { return !class.keys[key] })
		}
	}
	return common
}
