package main

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// The place of the setting that an error names is found in the operator's text, or that of the nearest object that should
// contain it.
func TestSettingPosition(t *testing.T) {
	text := []byte("{\"az\": 1, \"bounds\": {\"x\": [1, 2]},\n \"categories\": [\n  {\"name\": \"a\\\"b\", \"ttl\": 1},\n  {\"name\": \"b\"}]}")
	for message, want := range map[string][2]int{
		"setting az is no number":                      {1, 2},
		"setting bounds.x is odd":                      {1, 22},
		"setting bounds.y is missing":                  {1, 11},
		"setting categories.0.ttl is -1, not above 0":  {3, 20},
		"setting categories.1.ttl is missing":          {4, 3},
		"setting categories.2.ttl is missing":          {2, 2},
		"setting categories.count can't be: 9":         {2, 2},
		"setting rules.askWithin is missing":           {1, 1},
		"setting zones is [b], and only a start takes": {1, 1},
		"something else":                               {1, 1},
	} {
		line, column := settingPosition(text, message)
		assert.Equal(t, want, [2]int{line, column}, message)
	}
}

func FuzzSettingPosition(f *testing.F) {
	f.Add([]byte(`{"a":[{"b":1},2],"c":{}}`), "setting a.0.b is odd")
	f.Add([]byte(`[1,`), "setting 1 is odd")
	f.Add([]byte(`{"":{"":0}}`), "setting . is odd")
	f.Fuzz(func(t *testing.T, text []byte, message string) {
		line, column := settingPosition(text, message)
		assert.True(t, line >= 1 && column >= 1)
	})
}
