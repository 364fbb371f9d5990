package checker_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"almondpick/checker"
	"almondpick/planner"
	"almondpick/platform"
)

// faulty has an error or a warning on almost each line.
const faulty = `{"version": 0,
"routes": [
{"name": "r-1", "host": "198.18.0.1", "pathPrefix": "/80/", "type": "safe", "timeoutMs": 9000, "sloMs": 10000,
 "split": [{"service": "a", "weight": 0},
  {"service": "b"}]},
{"name": "r-2", "host": "198.18.0.1", "pathPrefix": "/80/", "type": "safe", "timeoutMs": 9000,
 "service": "z",
 "split": [{"service": "a", "weight": 1}]},
{"name": "r-3", "host": "::ffff:198.18.0.3", "pathPrefix": "/80/", "type": "odd",
 "timeoutMs": 0,
 "service": "b"},
{"name": "r-4", "host": "198.18.0.4", "pathPrefix": "/x/", "type": "safe", "timeoutMs": 1200,
 "service": "b"}],
"services": [{"name": "a", "maxConns": 20},
 {"name": "b", "maxConns": 1},
 {"name": "b", "maxConns": 20, "warmupPerS": -1}],
"limits": {"idleTimeoutMs": 8999}}`

// Guards against findings that are missing after the first one, and against wrong lines and names.
func TestAllFindingsAreReportedAtOnce(t *testing.T) {
	is := is.New(t)
	r := checker.Check(platform.CheckDocument([]byte(faulty)), checker.WithInForce(planner.Ruleset{Version: 1}))
	var got []string
	for _, f := range r.Findings {
		got = append(got, strings.TrimSpace(fmt.Sprint(f.Line, " ", f.Severity, " ", f.Code, " ", f.Field, " ", f.Route, " ", f.Service)))
	}
	is.Equal(got, []string{
		"1 error out-of-range version",
		"3 warning timeout-below-objective routes/0/timeoutMs r-1",
		"4 warning share-without-flows routes/0/split/0/weight r-1 a",
		"5 error bad-field routes/0/split/1/weight r-1 b",
		"6 error bad-address routes/1/pathPrefix r-2",
		"7 error unknown-service routes/1/service r-2 z",
		"8 warning split-ignored routes/1/split r-2",
		"9 warning never-matches routes/2/pathPrefix r-3",
		"9 error bad-field routes/2/type r-3",
		"10 error out-of-range routes/2/timeoutMs r-3",
		"12 error bad-field routes/3/pathPrefix r-4",
		"12 warning timeout-below-wait routes/3/timeoutMs r-4",
		"14 warning unused-service services/0/name  a",
		"15 warning too-few-connections services/1/maxConns  b",
		"16 error bad-name services/2/name  b",
		"16 error bad-field services/2/warmupPerS  b",
		"17 warning idle-below-timeout limits/idleTimeoutMs",
	})
	is.Equal(r.HighestSeverity(), checker.Error)
	is.True(r.Diff == nil) // of fields that cannot be decoded nothing is known
}

// Guards against a place that is missing where the text is no JSON, or a field has another type.
func TestUnreadableDocuments(t *testing.T) {
	for _, text := range []string{"{\"version\": 1,\n\"routes\": [}", "{\"version\":\n\"1\"}", "{}\n]", "{\n\"version\": 1",
		"{\n\"rou\xf2es\": []}", "{\"version\": 1,\n\"version\": 2}"} {
		r := checker.Check(platform.CheckDocument([]byte(text)))
		if len(r.Findings) != 1 || r.Findings[0].Code != checker.Unreadable || r.Findings[0].Line != 2 {
			t.Errorf("%q: %v", text, r.Findings)
		}
	}
	if r := checker.Check(platform.CheckDocument(nil)); r.HighestSeverity() != checker.Error {
		t.Errorf("an empty file: %v", r.Findings)
	}
}

// Guards against a missing member that is not reported, or that every field which refers to it
// reports once more.
func TestMissingMembersAreReportedOnce(t *testing.T) {
	const route = `{"name":"r","host":"198.18.0.1","pathPrefix":"/80/","type":"safe","timeoutMs":3000,"service":"a"}`
	for text, want := range map[string][]string{
		`{"version":1,"services":[{"name":"a","maxConns":20}],"limits":{}}`: {"error bad-field routes"},
		`{"version":1,"routes":[` + route + `],"limits":{}}`:                {"error bad-field services"},
		`{"routes":[` + route + `]}`:                                        {"error bad-field version", "error bad-field services", "error bad-field limits"},
	} {
		is := is.New(t)
		var got []string
		for _, f := range checker.Check(platform.CheckDocument([]byte(text))).Findings {
			got = append(got, fmt.Sprint(f.Severity, " ", f.Code, " ", f.Field))
		}
		is.Equal(got, want)
	}
}

// door is a control plane that checks a ruleset as a storage instance does.
type door struct{ platform.ControlPlane }

func (door) ReplaceRuleset(_ context.Context, r planner.Ruleset) error { return r.Validate() }
func (door) HoldsDocument(context.Context, []byte) bool                { return false }
func (door) ConfigurationRefused()                                     {}
func (door) Now() time.Time                                            { return time.Time{} }

// accepts reports whether the operator door accepts a document.
func accepts(h http.Handler, document []byte) bool {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPut, platform.ConfigurationPath, strings.NewReader(string(document))))
	return w.Code == http.StatusOK
}

// drawDocument draws a document in which most fields are valid.
func drawDocument(t *rapid.T) []byte {
	value := func(label string, values ...any) any { return rapid.SampledFrom(values).Draw(t, label) }
	object := func(label string, fields map[string]any) map[string]any {
		if rapid.IntRange(0, 9).Draw(t, label) == 0 { // a field is missing, or has another value
			names := slices.Sorted(maps.Keys(fields))
			fields[rapid.SampledFrom(names).Draw(t, "changed")] = value("value", nil, 0, -1, 1e9, 1e300, "", "x", true, []any{})
		}
		return fields
	}
	routes, services := []any{}, []any{}
	for i := range rapid.IntRange(0, 4).Draw(t, "routes") {
		route := map[string]any{
			"name": fmt.Sprint("r-", i), "host": fmt.Sprint("198.18.0.", i), "pathPrefix": value("port", "/80/", "/443/", "/80/", "/0/"),
			"type": value("type", "safe", "unsafe", "upload", "download"), "timeoutMs": value("timeout", 1, 1000, 5000), "sloMs": value("objective", 0, 2000),
		}
		if rapid.Bool().Draw(t, "same-host") {
			route["host"] = "198.18.0.1"
		}
		if rapid.Bool().Draw(t, "has-service") {
			route["service"] = value("service", "a", "b")
		}
		if rapid.Bool().Draw(t, "has-split") {
			route["split"] = []any{
				object("entry", map[string]any{"service": "a", "weight": value("weight", 0, 1)}),
				object("entry", map[string]any{"service": "b", "weight": value("weight", 0, 1)}),
			}
		}
		routes = append(routes, object("route", route))
	}
	for _, name := range []string{"a", "b"} {
		services = append(services, object("service", map[string]any{"name": name, "maxConns": 20, "warmupS": 2, "warmupPerS": 0.5}))
	}
	b, err := json.Marshal(object("document", map[string]any{
		"version": 3, "routes": routes, "services": services, "limits": object("limits", map[string]any{"idleTimeoutMs": 9000}),
	}))
	if err != nil {
		t.Fatal(err)
	}
	if rapid.IntRange(0, 9).Draw(t, "cut") == 0 {
		b = b[:rapid.IntRange(0, len(b)).Draw(t, "size")]
	}
	return b
}

// Guards against a check that passes what the operator door refuses, or the other way round.
func TestCheckAndDoorAgree(t *testing.T) {
	h := platform.NewAPI(door{}, door{}, slog.New(slog.DiscardHandler), door{})
	rapid.Check(t, func(t *rapid.T) {
		document := drawDocument(t)
		r := checker.Check(platform.CheckDocument(document))
		if accepted := accepts(h, document); accepted != (r.HighestSeverity() < checker.Error) {
			t.Fatalf("accepted %v, findings %v: %s", accepted, r.Findings, document)
		}
	})
}

// Guards against changes that the diff leaves out, and against the order of the text as a change.
func TestDiff(t *testing.T) {
	is := is.New(t)
	old := manyRoutes(4)
	next := old
	next.Routes = slices.Clone(old.Routes)
	slices.Reverse(next.Routes)
	d := checker.DiffBetween(old, next)
	is.True(d.IsEmpty())
	is.True(!d.Version.IsHigher)

	next.Version, next.IdleTimeout = 2, time.Second
	next.Routes[0].CallerTimeout = 7 * time.Second // r-3
	next.Routes[3].Name, next.Routes[3].Address = "new", netip.MustParseAddrPort("198.18.9.9:80")
	next.Pools = []planner.Pool{{Name: "a", MaxConnections: 9}}
	d = checker.DiffBetween(old, next)
	is.Equal(d.String(), `version 1 -> 2
~ route r-3 198.18.0.3:80
    timeout: 3s -> 7s
+ route new 198.18.9.9:80: name new, retry-policy idempotent, timeout 3s, objective 300ms, priority 0, services a 90 + b 10
- route r-0 198.18.0.0:80: name r-0, retry-policy idempotent, timeout 3s, objective 300ms, priority 0, services a 90 + b 10
~ service a
    max-connections: 20 -> 9
- service b: health-path "", max-connections 20, slow-start 0s, slow-start-rate 0
~ limit idle-timeout: 15s -> 1s
`)
}

// Guards against a version that would be ignored without a word, and keys that are not kebab case.
func TestVersionThatIsNotHigher(t *testing.T) {
	is := is.New(t)
	rules := manyRoutes(1)
	document, err := platform.EncodeConfiguration(rules)
	is.NoErr(err)
	r := checker.Check(platform.CheckDocument(document), checker.WithInForce(rules))
	is.Equal(len(r.Findings), 1)
	is.Equal(r.Findings[0].Code, checker.VersionNotHigher)
	encoded, err := json.Marshal(r)
	is.NoErr(err)
	is.True(strings.Contains(string(encoded), `"diff":{"version":{"in-force":1,"document":1,"is-higher":false},"routes":[],"services":[],"limits":[]}`))
	r = checker.Check(platform.CheckDocument(document), checker.WithInForce(planner.Ruleset{}))
	is.Equal(r.HighestSeverity(), checker.None)
	is.Equal(len(r.Diff.Routes)+len(r.Diff.Services), 3)
}

// manyRoutes returns a ruleset without findings.
func manyRoutes(count int) planner.Ruleset {
	r := planner.Ruleset{
		Version: 1, IdleTimeout: 15 * time.Second,
		Pools: []planner.Pool{{Name: "a", MaxConnections: 20}, {Name: "b", MaxConnections: 20}},
	}
	for i := range count {
		r.Routes = append(r.Routes, planner.Route{
			Name: fmt.Sprint("r-", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 80),
			CallerTimeout: 3 * time.Second, LatencyObjective: 300 * time.Millisecond,
			WeightedPools: []planner.WeightedPool{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}},
		})
	}
	return r
}

// BenchmarkCheck measures the check of a document of 1,600 routes against another one.
func BenchmarkCheck(b *testing.B) {
	rules := manyRoutes(1600)
	document, err := platform.EncodeConfiguration(rules)
	if err != nil {
		b.Fatal(err)
	}
	rules.IdleTimeout = time.Second
	for b.Loop() {
		if r := checker.Check(platform.CheckDocument(document), checker.WithInForce(rules)); len(r.Findings) != 1 {
			b.Fatal(r.Findings)
		}
	}
}
