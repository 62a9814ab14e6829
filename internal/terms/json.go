package terms

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// FromJSON reads nested settings, whose paths are those of the lines.
func FromJSON(data []byte) (*Deployment, error) {
	var tree map[string]any
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber() // a number keeps its text, as in the lines
	if err := d.Decode(&tree); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	p := &pairs{values: map[string]string{}}
	p.flatten("", tree)
	told, err := p.deployment()
	if err != nil {
		return nil, err
	}
	told.Shape = p.shape(told)
	told.keys = p.keys()
	for k, name := range told.Categories { // by which ops come
		if p.err == nil && (name == "" || slices.Index(told.Categories, name) < k) {
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
		plain := make([]string, 0, len(x))
		for k, item := range x {
			if _, ok := item.(map[string]any); ok {
				p.flatten(under(strconv.Itoa(k)), item)
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
