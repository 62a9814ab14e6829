package config

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pearknot/balancer"
)

const lineSettings = `az=1
balancers=3
benefitBy=work
bounds.cancel=true
bounds.connIdle=15000.0
bounds.mostPushes=3
bounds.retryAfter=true
bounds.secondCopies=true
categories.count=2
categories.0.idempotency=pure
categories.0.name=first_come
categories.0.targetLatency=600.0
categories.0.ttl=1200.0
categories.0.benefit=3.0
categories.1.idempotency=token
categories.1.dedupScope=cell
categories.1.name=second
categories.1.targetLatency=750.0
categories.1.ttl=3000.0
categories.1.benefit=1.0
loadReport.fields=mean_ms,concurrent
registryMode=subscribe
rules.askWithin=10000.0
rules.coldFrom=0.34
rules.fallMultiple=3.0
rules.overloadFor=3000.0
rules.warmWithin=9000.0
tenants.count=1
tenants.0.name=one
tenants.0.quotaPerS=20
zones=a,b
kinds=
`

const jsonSettings = `{"az":1,"balancers":3,"benefitBy":"work","bounds":{"cancel":true,"connIdle":15000.0,"mostPushes":3,
"retryAfter":true,"secondCopies":true},"categories":[{"idempotency":"pure","name":"first come","targetLatency":600.0,
"ttl":1200.0,"benefit":3.0},{"idempotency":"token","dedupScope":"cell","name":"second","targetLatency":750.0,
"ttl":3000.0,"benefit":1.0}],"loadReport":{"fields":["mean_ms","concurrent"]},"registryMode":"subscribe",
"rules":{"askWithin":10000.0,"coldFrom":0.34,"fallMultiple":3.0,"overloadFor":3000.0,"warmWithin":9000.0},
"tenants":[{"name":"one","quotaPerS":20}],"zones":["a","b"],"kinds":[],"more":{"unheard":null}}`

// Lines and JSON with the same settings give the same configuration.
func TestLinesAndJSONGiveSameDeployment(t *testing.T) {
	a, err := ParseLines([]byte(lineSettings))
	require.NoError(t, err)
	b, err := ParseJSON([]byte(jsonSettings))
	require.NoError(t, err)
	b.present = presentSettings{} // lines never replace a configuration
	assert.Equal(t, a, b)
	assert.Equal(t, []string{"first_come", "second"}, a.Classes)
	assert.Equal(t, 3000.0, a.MaxDeadline)
	assert.Equal(t, balancer.DedupByCell, a.BalancerConfig.Classes[1].DedupScope)
	assert.Equal(t, 20.0, a.BalancerConfig.Tenants[0].Quota)
	assert.Equal(t, 250.0, a.ConnectTimeout, "the default")
}

// A fault in the settings is reported with the path of the setting.
func TestSettingErrors(t *testing.T) {
	for name, c := range map[string]struct{ from, to, want string }{
		"missing":               {"az=1\n", "", "az is missing"},
		"no number":             {"az=1\n", "az=x\n", "az is no number"},
		"not finite":            {"az=1\n", "az=Inf\n", "az is no number"},
		"no flag":               {"cancel=true", "cancel=yes", "neither true nor false"},
		"unknown value":         {"idempotency=pure", "idempotency=odd", "unknown value"},
		"count too high":        {"categories.count=2", "categories.count=2000", "can't be"},
		"no nodes":              {"balancers=3", "balancers=0", "balancers is 0, not from 1"},
		"poll interval 0":       {"askWithin=10000.0", "askWithin=0", "rules.askWithin is 0, not from 1 to"},
		"poll interval below 0": {"askWithin=10000.0", "askWithin=-5", "rules.askWithin is -5, not from 1 to"},
		"poll interval near 0":  {"askWithin=10000.0", "askWithin=1e-12", "rules.askWithin is 1e-12, not from 1 to"},
		"quota below 0":         {"quotaPerS=20", "quotaPerS=-20", "tenants.0.quotaPerS is -20"},
		"share above 1":         {"az=1\n", "az=1\nexcessBenefit=1.5\n", "excessBenefit is 1.5, not from 0 to 1"},
		"late weight above 1":   {"categories.0.benefit=3.0", "categories.0.benefit=3.0\ncategories.0.overdueBenefit=2", "categories.0.overdueBenefit is 2"},
	} {
		_, err := ParseLines([]byte(strings.Replace(lineSettings, c.from, c.to, 1)))
		assert.ErrorContains(t, err, c.want, name)
		var settingErr *SettingError
		require.ErrorAs(t, err, &settingErr, name)
		assert.Equal(t, "setting "+settingErr.Path+" "+settingErr.Problem, err.Error(), name)
	}
	_, err := ParseJSON([]byte(`[1]`))
	assert.Error(t, err)
}

// An operator switches from one topology to the other and forgets a setting. The configuration is rejected with the path of
// the first setting that does not fit. The default topology is a pool, the only one before there were two.
func TestTopologies(t *testing.T) {
	sidecar := strings.NewReplacer(`"az":1`, `"az":0,"domainType":"mesh"`, `"secondCopies":true`, `"secondCopies":false`, `"zones":["a","b"]`,
		`"zones":["a"]`, `"registryMode":"subscribe"`, `"registryMode":"automatic"`, `["mean_ms","concurrent"]`, `["concurrent","depth"]`).Replace(jsonSettings)
	for name, c := range map[string]struct {
		text, from, to string
		topology       Topology
		want           string
	}{
		"pool":                    {jsonSettings, "", "", TopologyPool, ""},
		"pool by name":            {jsonSettings, `"az":1`, `"az":1,"domainType":"proxy"`, TopologyPool, ""},
		"sidecar":                 {sidecar, "", "", TopologySidecar, ""},
		"pool without hedging":    {jsonSettings, `"secondCopies":true`, `"secondCopies":false`, TopologyPool, ""},
		"sidecar with hedging":    {sidecar, `"secondCopies":false`, `"secondCopies":true`, TopologySidecar, "setting bounds.secondCopies is true"},
		"sidecar with zones":      {sidecar, `"zones":["a"]`, `"zones":["a","b"]`, TopologySidecar, "setting zones is [a b]"},
		"sidecar, crossing costs": {sidecar, `"az":0`, `"az":0,"prices":{"crossZone":0.1}`, TopologySidecar, "setting prices.crossZone is 0.1"},
		"unknown topology":        {sidecar, `"mesh"`, `"ring"`, TopologySidecar, "setting domainType has an unknown value"},
	} {
		d, err := ParseJSON([]byte(strings.Replace(c.text, c.from, c.to, 1)))
		if c.want != "" {
			assert.ErrorContains(t, err, c.want, name)
			assert.NotContains(t, err.Error(), "\n", name)
		} else if assert.NoError(t, err, name) {
			assert.Equal(t, c.topology, d.Topology, name)
		}
	}
}

// Settings that only some deployments have: order by key, an endpoint list whose removals are hints, connection costs.
func TestOptionalSettings(t *testing.T) {
	d, err := ParseLines([]byte(lineSettings + "categories.1.keepOrder=true\nrules.settleAfterDoubt=200.0\nrules.removalNotBinding=true\n" +
		"me=2\nfamilyInfo.warmKeys=true\nprices.connection=0.06\ngoal.nines=0.2\ngoal.ninesWanted=3.0\n"))
	require.NoError(t, err)
	assert.True(t, d.BalancerConfig.Classes[1].Ordered && d.BalancerConfig.RemovalIsHint && d.BalancerConfig.KeyAffinity)
	assert.False(t, d.BalancerConfig.Classes[0].Ordered)
	assert.Equal(t, []float64{200, 2, 0.06}, []float64{d.BalancerConfig.UncertainCooldown, float64(d.BalancerConfig.NodeIndex), d.BalancerConfig.ConnectionCost})
	for line, want := range map[string]string{
		"categories.1.keepOrder=si\n":       `setting categories.1.keepOrder is neither true nor false: "si"`,
		"prices.connection=0.06\n":          "setting me is missing",
		"rules.settleAfterDoubt=-1\n":       "setting rules.settleAfterDoubt is -1, not from 0 to 1.7976931348623157e+308",
		"rules.removalNotBinding=perhaps\n": `setting rules.removalNotBinding is neither true nor false: "perhaps"`,
	} {
		_, err := ParseLines([]byte(lineSettings + line))
		assert.EqualError(t, err, want)
	}
}

// Tenants in JSON are read without a path for each, with the same result as in lines: an error names the same path, and an
// absent quota is 0.
func TestTenantsInLinesAndJSON(t *testing.T) {
	for tenants, want := range map[string]string{
		`[{"name":"one","quotaPerS":20},{"name":"two words"},{"quotaPerS":0.5},3,null]`: "",
		`[{"name":"one","quotaPerS":-1}]`:                                               "tenants.0.quotaPerS is -1, not from 0",
		`[{"name":"one"},{"name":"two","quotaPerS":"few"}]`:                             `tenants.1.quotaPerS is no number: "few"`,
		`[{"name":"one"},{"name":"two","quotaPerS":1e999}]`:                             "tenants.1.quotaPerS is no number",
		`[{"name":"one","quotaPerS":"NaN"}]`:                                            "tenants.0.quotaPerS is no number",
		`[{"name":"one","quotaPerS":{"a":1}}]`:                                          "tenants.0.quotaPerS is no number",
		`[]`:                                                                            "",
	} {
		d, err := ParseJSON([]byte(strings.Replace(jsonSettings, `[{"name":"one","quotaPerS":20}]`, tenants, 1)))
		if want != "" {
			assert.ErrorContains(t, err, want, tenants)
			continue
		}
		require.NoError(t, err, tenants)
		if tenants == "[]" {
			assert.Empty(t, d.Tenants)
			continue
		}
		assert.Equal(t, []string{"one", "two_words", "", "", ""}, d.Tenants)
		assert.Equal(t, []balancer.Tenant{{Quota: 20}, {}, {Quota: 0.5}, {}, {}}, d.BalancerConfig.Tenants)
	}
	// A count in lines can't exceed the number of values.
	_, err := ParseLines([]byte(lineSettings + "tenants.count=1000000000\n"))
	assert.ErrorContains(t, err, "tenants.count")
}
