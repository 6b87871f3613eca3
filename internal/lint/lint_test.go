package lint_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/lint"
	"sassafrasturn.example/platform"
)

const state = `{"version":7,"routes":[
 {"name":"r-1","host":"198.18.0.1","path-prefix":"/8443/","route-type":"idempotent","timeout-ms":1000,"target-latency-ms":300,
  "priority":1,"max-attempts":0,"weighted-backends":[{"service":"alpha","weight":90},{"service":"beta","weight":10}]},
 {"name":"r-2","host":"198.18.0.2","path-prefix":"/80/","timeout-ms":3000,"service":"beta"}],
 "services":[{"name":"alpha","health-path":"/h","max-conns":2000,"protocol":"tcp","tls":false,"cold-start-s":2,"cold-per-s":2.5},{"name":"beta"}],
 "limits":{"max-header-bytes":1,"max-body-bytes":1,"header-timeout-ms":1,"idle-timeout-ms":15000}}`

// edit replaces parts of the state, given in pairs.
func edit(g Gomega, pairs ...string) *lint.State {
	text := state
	for i := 0; i < len(pairs); i += 2 {
		g.Expect(text).To(ContainSubstring(pairs[i]))
		text = strings.Replace(text, pairs[i], pairs[i+1], 1)
	}
	inspection := platform.Inspect([]byte(text))
	g.Expect(inspection.State).NotTo(BeNil())
	return inspection.State
}

func lines(findings []lint.Finding) []string {
	texts := []string{}
	for _, f := range findings {
		texts = append(texts, f.Path+": "+f.Message)
	}
	return texts
}

func TestWarnings(t *testing.T) {
	cases := map[string]struct{ edits, want []string }{
		"none, also for fields without effect":    {nil, []string{}},
		"no objective":                            {[]string{`"target-latency-ms":300`, `"target-latency-ms":0`}, []string{}},
		"objective equal to the time limit":       {[]string{`"target-latency-ms":300`, `"target-latency-ms":1000`}, []string{}},
		"time limit below the objective":          {[]string{`"target-latency-ms":300`, `"target-latency-ms":1001`}, []string{`routes[0].timeout-ms: route "r-1": timeout-ms is 1000, below target-latency-ms, which is 1001`}},
		"max-conns of 0":                          {[]string{`"max-conns":2000`, `"max-conns":0`}, []string{`services[0].max-conns: service "alpha": max-conns is 0, which sets no limit`}},
		"max-conns of null, as if not stated":     {[]string{`"max-conns":2000`, `"max-conns":null`}, []string{}},
		"weight of 0":                             {[]string{`"weight":10`, `"weight":0`}, []string{`routes[0].weighted-backends[1]: route "r-1": service "beta" gets no new flows: its weight is 0`}},
		"weights that are all 0, an error":        {[]string{`"weight":10`, `"weight":0`, `"weight":90`, `"weight":0`}, []string{}},
		"service in both forms":                   {[]string{`"priority":1`, `"service":"beta"`}, []string{`routes[0].weighted-backends[1]: route "r-1": service "beta" is named more than once, and its weights are added`}},
		"service that no route names":             {[]string{`{"name":"beta"}`, `{"name":"beta"},{"name":"gamma"}`}, []string{`services[2]: service "gamma" gets no flows: no route names it`}},
		"service that a later one replaces":       {[]string{`{"name":"beta"}`, `{"name":"beta"},{"name":"alpha"}`}, []string{`services[0]: service "alpha" has no effect: services[2] has the same name, and the last one counts`}},
		"unknown fields, also of known objects":   {[]string{`"version":7`, `"version":7,"x":{"y":1}`, `"weight":90`, `"weight":90,"wieght":1`, `"max-body-bytes"`, `"max-body"`}, []string{"x: unknown field, which is ignored", "routes[0].weighted-backends[0].wieght: unknown field, which is ignored", "limits.max-body: unknown field, which is ignored"}},
		"fields in another case, which are known": {[]string{`"priority":1`, `"Priority":1`}, []string{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(lines(lint.Warnings(edit(g, c.edits...)))).To(Equal(c.want))
		})
	}
}

func TestDifferences(t *testing.T) {
	second := `{"name":"r-2","host":"198.18.0.2","path-prefix":"/80/","timeout-ms":3000,"service":"beta"}`
	cases := map[string]struct{ edits, want []string }{
		"only a higher version": {nil, []string{}},
		"same version":          {[]string{`"version":8`, `"version":7`}, []string{"version: version 7 is not higher than 7, the one in force, so the state would have no effect"}},
		"lower version":         {[]string{`"version":8`, `"version":6`}, []string{"version: version 6 is not higher than 7, the one in force, so the state would have no effect"}},
		"changed fields": {[]string{`"timeout-ms":1000`, `"timeout-ms":2000`, `"priority":1,`, ``, `"weight":10`, `"weight":20`}, []string{
			`routes[0]: route "r-1": priority changes from 1 to none`,
			`routes[0].timeout-ms: route "r-1": timeout-ms changes from 1000 to 2000`,
			`routes[0].weighted-backends: route "r-1": weighted-backends changes from [{"service":"alpha","weight":90},{"service":"beta","weight":10}] to [{"service":"alpha","weight":90},{"service":"beta","weight":20}]`,
		}},
		"other order of keys":           {[]string{`{"service":"beta","weight":10}`, `{"weight": 10, "service": "beta"}`}, []string{}},
		"renamed route":                 {[]string{`"r-2"`, `"r-3"`}, []string{`routes[1]: route "r-3" is added`, `: route "r-2" is removed`}},
		"second route of the same name": {[]string{second, second + "," + strings.Replace(second, "80", "81", 1)}, []string{`routes[2]: route "r-2" is added`}},
		"service and limits": {[]string{`,{"name":"beta"}`, `,{"name":"gamma"}`, `15000`, `16000`}, []string{
			`services[1]: service "gamma" is added`, `: service "beta" is removed`, `limits.idle-timeout-ms: limits: idle-timeout-ms changes from 15000 to 16000`,
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			next := edit(g, append([]string{`"version":7`, `"version":8`}, c.edits...)...)
			g.Expect(lines(lint.Differences(edit(g), next))).To(Equal(c.want))
		})
	}
}
