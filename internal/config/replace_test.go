package config

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// An operator changes the configuration of a running node. A complete one is accepted, whichever classes it adds, removes or
// changes. Otherwise it is rejected with the path of the setting that is missing or invalid.
func TestCheckReplaces(t *testing.T) {
	old, err := ParseJSON([]byte(jsonSettings))
	require.NoError(t, err)
	before, rest, found := strings.Cut(jsonSettings, `"categories":[`)
	require.True(t, found)
	_, after, found := strings.Cut(rest, `"loadReport"`)
	require.True(t, found)
	noClasses := before + `"categories":[],"loadReport"` + after
	change := func(pairs ...string) string { return strings.NewReplacer(pairs...).Replace(jsonSettings) }
	for name, c := range map[string]struct{ text, want string }{
		"the same":            {jsonSettings, ""},
		"a class removed":     {change(`{"idempotency":"pure","name":"first come","targetLatency":600.0,`+"\n"+`"ttl":1200.0,"benefit":3.0},`, ""), ""},
		"a class added":       {change(`"categories":[`, `"categories":[{"idempotency":"side_effect","name":"third","targetLatency":1,"ttl":2,"benefit":1},`), ""},
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
		"poll interval 0":     {change(`"askWithin":10000.0`, `"askWithin":0`), "rules.askWithin is 0"},
		"lacks a deadline":    {change(`"ttl":3000.0,`, ``), "categories.1.ttl"},
		"lacks a scope":       {change(`"dedupScope":"cell",`, ``), "categories.1.dedupScope"},
		"lacks a bound":       {change(`"connIdle":15000.0,`, ``), "bounds.connIdle"},
		"lacks a rule":        {change(`"coldFrom":0.34,`, ``), "rules.coldFrom"},
		"lacks all rules":     {change(`"rules":{"askWithin":10000.0,"coldFrom":0.34,"fallMultiple":3.0,"overloadFor":3000.0,"warmWithin":9000.0},`, ``), "rules."},
		"lacks the tenants":   {change(`"tenants":[{"name":"one","quotaPerS":20}],`, ``), "tenants"},
		"no classes":          {noClasses, "categories"},
		"duplicate name":      {change(`"second"`, `"first come"`), "categories.1.name"},
		"no name":             {change(`"name":"second",`, ``), "categories.1.name"},
		"other zones":         {change(`["a","b"]`, `["a","c"]`), "zones"},
	} {
		next, err := ParseJSON([]byte(c.text))
		if err == nil {
			err = next.CheckReplaces(old)
		}
		if c.want == "" {
			assert.NoError(t, err, name)
		} else {
			assert.ErrorContains(t, err, c.want, name)
		}
	}

	// A configuration that lacks any one key, or is cut off at any byte, is rejected.
	var tree map[string]any
	require.NoError(t, json.Unmarshal([]byte(jsonSettings), &tree))
	for key, value := range tree {
		if key == "more" { // has no effect
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

// The control plane gives all nodes the same settings. Each node keeps its own zone, index and seed; a check needs none of
// them.
func TestParseShared(t *testing.T) {
	local, err := ParseJSON([]byte(strings.NewReplacer(`"az":1`, `"az":1,"me":7`).Replace(jsonSettings)))
	require.NoError(t, err)
	local.BalancerConfig.Seed = 99
	require.Equal(t, []int{1, 7}, []int{local.BalancerConfig.Zone, local.BalancerConfig.NodeIndex})
	for _, text := range []string{strings.Replace(jsonSettings, `"az":1`, `"az":0,"me":3`, 1), strings.Replace(jsonSettings, `"az":1,`, ``, 1)} {
		d, err := ParseShared([]byte(text), local)
		require.NoError(t, err)
		require.Equal(t, local.BalancerConfig, d.BalancerConfig)
		require.NoError(t, d.CheckReplaces(local))
	}
	withoutIndex, err := ParseJSON([]byte(jsonSettings))
	require.NoError(t, err)
	d, err := ParseShared([]byte(strings.Replace(jsonSettings, `"az":1`, `"az":1,"me":3`, 1)), withoutIndex)
	require.NoError(t, err)
	require.Zero(t, d.BalancerConfig.NodeIndex, "the index in the shared text is another node's")
	require.NoError(t, d.CheckReplaces(withoutIndex))
	_, err = ParseShared([]byte(strings.Replace(jsonSettings, `"az":1,`, ``, 1)), nil)
	require.NoError(t, err)
	for _, invalid := range []string{`null`, `[]`, `{`, `1`} {
		_, err = ParseShared([]byte(invalid), local)
		require.ErrorContains(t, err, "settings: ", invalid)
	}
}
