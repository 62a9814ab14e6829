package config

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
)

// presentSettings are the paths that are present in a configuration: the plain ones, and those of each class.
type presentSettings struct {
	plain   map[string]bool
	classes []presentClassSettings
}

type presentClassSettings struct {
	idempotency string
	keys        map[string]bool
}

var listItemPath = regexp.MustCompile(`^([^.]+)\.(\d+)\.(.+)$`)

func (s *settings) present() presentSettings {
	present := presentSettings{plain: map[string]bool{}}
	byNumber := map[string]map[string]bool{}
	for path := range s.values {
		if match := listItemPath.FindStringSubmatch(path); match == nil {
			present.plain[strings.TrimSuffix(path, ".count")] = true // an empty list has no count
		} else if match[1] == "categories" {
			if byNumber[match[2]] == nil {
				byNumber[match[2]] = map[string]bool{}
			}
			byNumber[match[2]][match[3]] = true
		}
	}
	for _, number := range slices.Sorted(maps.Keys(byNumber)) {
		idempotency := s.values["categories."+number+".idempotency"]
		present.classes = append(present.classes, presentClassSettings{idempotency, byNumber[number]})
	}
	return present
}

// CheckReplaces returns an error if this configuration can't replace another while a node runs. That is so if it lacks a setting
// that the other has: a file that is only half written must not put defaults in force. It is also so if its zones or kinds
// differ, because the endpoint list that is in use refers to them by index. The error is a *SettingError.
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

// checkPresent returns an error for the first setting that the other configuration has and this one lacks.
func (d *Deployment) checkPresent(old *Deployment) error {
	for _, key := range slices.Sorted(maps.Keys(old.present.plain)) {
		if !d.present.plain[key] {
			return &SettingError{key, "is missing"}
		}
	}
	for n, class := range d.present.classes {
		for _, key := range slices.Sorted(maps.Keys(old.present.required(class.idempotency))) {
			if !class.keys[key] {
				return &SettingError{fmt.Sprintf("categories.%d.%s", n, key), "is missing"}
			}
		}
	}
	return nil
}

// dedupSettings have a meaning only for classes with an idempotency key, so other classes need not have them.
var dedupSettings = []string{"keyTtl", "dedupScope"}

// required returns the settings that a class of this idempotency must have in a configuration that replaces this one: those that
// all classes have here, and those that all classes of its idempotency have here.
func (p presentSettings) required(idempotency string) map[string]bool {
	required := map[string]bool{}
	maps.Copy(required, p.common(func(presentClassSettings) bool { return true }))
	for _, key := range dedupSettings {
		delete(required, key)
	}
	maps.Copy(required, p.common(func(class presentClassSettings) bool { return class.idempotency == idempotency }))
	return required
}

// common returns the settings that are present in every class for which include is true.
func (p presentSettings) common(include func(presentClassSettings) bool) map[string]bool {
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
