package config

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// An operator changes the configuration of a running node. It is taken where it is whole, whatever classes come, go or mean
// something else, and refused by the path of the setting that is missing or can't be.
func TestCheckReplaces(t *testing.T) {
	old, err := ParseJSON([]byte(jsonSettings))
	require.NoError(t, err)
	before, rest, found := strings.Cut(jsonSettings, `"categories":[`)
	require.True(t, found)
	_, after, found := strings.Cut(rest, `"loadReport"`)
	require.True(t, found)
	noClasses := before + `"categories":[],"loadReport"` + after
	change := func(pairs ...string) string { return strings.NewReplacer(pairs...).Replace(jsonSettings) }
	for name, c := range map[string]struct{ text, why string }{
		"the same":            {jsonSettings, ""},
		"one dropped":         {change(`{"idempotency":"pure","name":"first come","targetLatency":600.0,`+"\n"+`"ttl":1200.0,"benefit":3.0},`, ""), ""},
		"one more":            {change(`"categories":[`, `"categories":[{"idempotency":"side_effect","name":"third","targetLatency":1,"ttl":2,"benefit":1},`), ""},
		"another idempotency": {change(`"pure"`, `"side_effect"`), ""},
		"fewer attempts":      {change(`"mostPushes":3`, `"mostPushes":1`), ""},
		"more keys":           {change(`"cancel":true`, `"cancel":true,"maxRetryAfter":9`), ""},
		"no attempts":         {change(`"mostPushes":3`, `"mostPushes":0`), "bounds.mostPushes"},
		"attempts below 0":    {change(`"mostPushes":3`, `"mostPushes":-2`), "bounds.mostPushes"},
		"attempts no number":  {change(`"mostPushes":3`, `"mostPushes":"many"`), "bounds.mostPushes"},
		"deadline 0":          {change(`"ttl":1200.0`, `"ttl":0`), "categories.0.ttl"},
		"deadline below 0":    {change(`"ttl":3000.0`, `"ttl":-5`), "categories.1.ttl"},
		"deadline no number":  {change(`"ttl":3000.0`, `"ttl":null`), "categories.1.ttl"},
		"objective 0":         {change(`"targetLatency":750.0`, `"targetLatency":0`), "categories.1.targetLatency"},
		"objective below 0":   {change(`"targetLatency":750.0`, `"targetLatency":-1`), "categories.1.targetLatency"},
		"polls for ever":      {change(`"askWithin":10000.0`, `"askWithin":0`), "rules.askWithin is 0"},
		"lacks a deadline":    {change(`"ttl":3000.0,`, ``), "categories.1.ttl"},
		"lacks a scope":       {change(`"dedupScope":"cell",`, ``), "categories.1.dedupScope"},
		"lacks a bound":       {change(`"connIdle":15000.0,`, ``), "bounds.connIdle"},
		"lacks a rule":        {change(`"coldFrom":0.34,`, ``), "rules.coldFrom"},
		"lacks all rules":     {change(`"rules":{"askWithin":10000.0,"coldFrom":0.34,"fallMultiple":3.0,"overloadFor":3000.0,"warmWithin":9000.0},`, ``), "rules."},
		"lacks the tenants":   {change(`"tenants":[{"name":"one","quotaPerS":20}],`, ``), "tenants"},
		"no classes":          {noClasses, "categories"},
		"a name twice":        {change(`"second"`, `"first come"`), "categories.1.name"},
		"no name":             {change(`"name":"second",`, ``), "categories.1.name"},
		"other zones":         {change(`["a","b"]`, `["a","c"]`), "zones"},
	} {
		next, err := ParseJSON([]byte(c.text))
		if err == nil {
			err = next.CheckReplaces(old)
		}
		if c.why == "" {
			assert.NoError(t, err, name)
		} else {
			assert.ErrorContains(t, err, c.why, name)
		}
	}

	// Without any one of the keys, and cut off at any byte.
	var tree map[string]any
	require.NoError(t, json.Unmarshal([]byte(jsonSettings), &tree))
	for key, value := range tree {
		if key == "more" { // means nothing
			continue
		}
		delete(tree, key)
		text, err := json.Marshal(tree)
		require.NoError(t, err)
		next, err := ParseJSON(text)
		if err == nil {
			err = next.CheckReplaces(old)
		}
		assert.ErrorContains(t, err, key)
		tree[key] = value
	}
	for k := range len(jsonSettings) - 1 {
		_, err := ParseJSON([]byte(jsonSettings[:k]))
		assert.Error(t, err, k)
	}
}

// The control plane gives all nodes the same settings. Each keeps its own zone, index and seed; for a check there need be
// none.
func TestParseShared(t *testing.T) {
	own, err := ParseJSON([]byte(strings.NewReplacer(`"az":1`, `"az":1,"me":7`).Replace(jsonSettings)))
	require.NoError(t, err)
	own.BalancerConfig.Seed = 99
	require.Equal(t, []int{1, 7}, []int{own.BalancerConfig.Zone, own.BalancerConfig.NodeIndex})
	for _, text := range []string{strings.Replace(jsonSettings, `"az":1`, `"az":0,"me":3`, 1), strings.Replace(jsonSettings, `"az":1,`, ``, 1)} {
		d, err := ParseShared([]byte(text), own)
		require.NoError(t, err)
		require.Equal(t, own.BalancerConfig, d.BalancerConfig)
		require.NoError(t, d.CheckReplaces(own))
	}
	without, err := ParseJSON([]byte(jsonSettings))
	require.NoError(t, err)
	d, err := ParseShared([]byte(strings.Replace(jsonSettings, `"az":1`, `"az":1,"me":3`, 1)), without)
	require.NoError(t, err)
	require.Zero(t, d.BalancerConfig.NodeIndex, "another node's")
	require.NoError(t, d.CheckReplaces(without))
	_, err = ParseShared([]byte(strings.Replace(jsonSettings, `"az":1,`, ``, 1)), nil)
	require.NoError(t, err)
	for _, odd := range []string{`null`, `[]`, `{`, `1`} {
		_, err = ParseShared([]byte(odd), own)
		require.ErrorContains(t, err, "settings: ", odd)
	}
}
