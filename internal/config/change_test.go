package config

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// What may take the place of settings in force: whole ones, whatever categories come, go or mean something else.
func TestFollows(t *testing.T) {
	old, err := FromJSON([]byte(nested))
	require.NoError(t, err)
	change := func(pairs ...string) string { return strings.NewReplacer(pairs...).Replace(nested) }
	for name, c := range map[string]struct{ text, why string }{
		"the same":             {nested, ""},
		"one dropped":          {change(`{"idempotency":"pure","name":"first come","targetLatency":600.0,`+"\n"+`"ttl":1200.0,"benefit":3.0},`, ""), ""},
		"one more":             {change(`"categories":[`, `"categories":[{"idempotency":"side_effect","name":"third","targetLatency":1,"ttl":2,"benefit":1},`), ""},
		"another effect":       {change(`"pure"`, `"side_effect"`), ""},
		"fewer pushes":         {change(`"mostPushes":3`, `"mostPushes":1`), ""},
		"more keys":            {change(`"cancel":true`, `"cancel":true,"maxRetryAfter":9`), ""},
		"no pushes":            {change(`"mostPushes":3`, `"mostPushes":0`), "bounds.mostPushes"},
		"pushes below 0":       {change(`"mostPushes":3`, `"mostPushes":-2`), "bounds.mostPushes"},
		"pushes of no number":  {change(`"mostPushes":3`, `"mostPushes":"many"`), "bounds.mostPushes"},
		"TTL 0":                {change(`"ttl":1200.0`, `"ttl":0`), "categories.0.ttl"},
		"TTL below 0":          {change(`"ttl":3000.0`, `"ttl":-5`), "categories.1.ttl"},
		"TTL of no number":     {change(`"ttl":3000.0`, `"ttl":null`), "categories.1.ttl"},
		"target latency 0":     {change(`"targetLatency":750.0`, `"targetLatency":0`), "categories.1.targetLatency"},
		"target below 0":       {change(`"targetLatency":750.0`, `"targetLatency":-1`), "categories.1.targetLatency"},
		"asks for ever":        {change(`"askWithin":10000.0`, `"askWithin":0`), "rules.askWithin is 0"},
		"short of a TTL":       {change(`"ttl":3000.0,`, ``), "categories.1.ttl"},
		"short of a group":     {change(`"dedupScope":"cell",`, ``), "categories.1.dedupScope"},
		"short of a bound":     {change(`"connIdle":15000.0,`, ``), "bounds.connIdle"},
		"short of a rule":      {change(`"coldFrom":0.34,`, ``), "rules.coldFrom"},
		"short of all rules":   {change(`"rules":{"askWithin":10000.0,"coldFrom":0.34,"fallMultiple":3.0,"overloadFor":3000.0,"warmWithin":9000.0},`, ``), "rules."},
		"short of the tenants": {change(`"tenants":[{"name":"one","quotaPerS":20}],`, ``), "tenants"},
		"no categories":        {nested[:strings.Index(nested, `"categories":[`)] + `"categories":[],` + nested[strings.Index(nested, `"loadReport"`):], "categories"},
		"a name twice":         {change(`"second"`, `"first come"`), "categories.1.name"},
		"no name":              {change(`"name":"second",`, ``), "categories.1.name"},
		"other zones":          {change(`["a","b"]`, `["a","c"]`), "zones"},
	} {
		next, err := FromJSON([]byte(c.text))
		if err == nil {
			err = next.Follows(old)
		}
		if c.why == "" {
			assert.NoError(t, err, name)
		} else {
			assert.ErrorContains(t, err, c.why, name)
		}
	}

	// Short of any key that stands there, and cut off at any byte.
	var tree map[string]any
	require.NoError(t, json.Unmarshal([]byte(nested), &tree))
	for key, value := range tree {
		if key == "more" { // says nothing
			continue
		}
		delete(tree, key)
		text, err := json.Marshal(tree)
		require.NoError(t, err)
		next, err := FromJSON(text)
		if err == nil {
			err = next.Follows(old)
		}
		assert.ErrorContains(t, err, key)
		tree[key] = value
	}
	for k := range len(nested) - 1 {
		_, err := FromJSON([]byte(nested[:k]))
		assert.Error(t, err, k)
	}
}

// Settings that all nodes are given alike leave each its own place, number and seed; for a check there need be none.
func TestShared(t *testing.T) {
	own, err := FromJSON([]byte(strings.NewReplacer(`"az":1`, `"az":1,"me":7`).Replace(nested)))
	require.NoError(t, err)
	own.Balancer.Seed = 99
	require.Equal(t, []int{1, 7}, []int{own.Balancer.Zone, own.Balancer.NodeIndex})
	for _, text := range []string{strings.Replace(nested, `"az":1`, `"az":0,"me":3`, 1), strings.Replace(nested, `"az":1,`, ``, 1)} {
		d, err := Shared([]byte(text), own)
		require.NoError(t, err)
		require.Equal(t, own.Balancer, d.Balancer)
		require.NoError(t, d.Follows(own))
	}
	without, err := FromJSON([]byte(nested))
	require.NoError(t, err)
	d, err := Shared([]byte(strings.Replace(nested, `"az":1`, `"az":1,"me":3`, 1)), without)
	require.NoError(t, err)
	require.Zero(t, d.Balancer.NodeIndex, "another node's")
	require.NoError(t, d.Follows(without))
	_, err = Shared([]byte(strings.Replace(nested, `"az":1,`, ``, 1)), nil)
	require.NoError(t, err)
	for _, odd := range []string{`null`, `[]`, `{`, `1`} {
		_, err = Shared([]byte(odd), own)
		require.ErrorContains(t, err, "settings: ", odd)
	}
}
