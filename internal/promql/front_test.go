package promql

import (
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"strings"
	"testing"

	"lapislever/internal/platform"
	"lapislever/internal/standin"
)

// matrix is a server's reply with the given series.
func matrix(series ...string) string {
	return `{"status":"success","data":{"resultType":"matrix","result":[` + strings.Join(series, ",") + `]}}`
}

// start runs a front alone, with one cell for each list of servers and the settings over the defaults.
func start(t *testing.T, settings map[string]any, cells ...[]*standin.HTTPServer) string {
	t.Helper()
	cfg := &Config{Listen: "127.0.0.1:0", Class: "day-report", Settings: settings}
	for i, servers := range cells {
		for j, s := range servers {
			cfg.Servers = append(cfg.Servers, Server{Name: fmt.Sprintf("s-%d-%d", i, j), Address: s.Addr, Cell: i})
		}
	}
	pc, err := platform.Standalone(cfg.Standalone())
	if err != nil {
		t.Fatal(err)
	}
	return run(t, pc, cfg, true)
}

// run starts a coordinator with the front.
func run(t *testing.T, pc *platform.Config, cfg *Config, alone bool) string {
	t.Helper()
	f, err := New(cfg, Environment{Classes: pc.Classes, Settings: pc.Module, Zones: pc.Zones, Shards: pc.Shards,
		DialTimeout: pc.DialTimeout, ConnIdle: pc.ConnIdle, Standalone: alone, Log: standin.DiscardLogger()})
	if err != nil {
		t.Fatal(err)
	}
	k, err := platform.Start(pc, standin.DiscardLogger(), f)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.Close)
	return f.Addr()
}

// fixed is a server with one reply for every query.
func fixed(t *testing.T, status int, body string) []*standin.HTTPServer {
	return []*standin.HTTPServer{standin.NewHTTPServer(t, func(string, url.Values) (int, string) { return status, body })}
}

// ask sends a range query and returns status, Retry-After and body.
func ask(t *testing.T, addr, query, rest string) (int, string, string) {
	t.Helper()
	r := standin.DoHTTP(t, addr, "GET", rangePath+"?query="+url.QueryEscape(query)+"&"+rest, nil, "")
	return r.Status, r.Header.Get("Retry-After"), string(r.Body)
}

const (
	a1 = `{"metric":{"__name__":"m","k":"1","z":"p"},"values":[[0,"1"],[30,"2"],[60,"4"]]}`
	a2 = `{"metric":{"__name__":"m","k":"2","z":"p"},"values":[[0,"10"],[30,"20"]]}`
	b1 = `{"metric":{"__name__":"m","k":"3","z":"q"},"values":[[0,"100"],[60,"NaN"]]}`
)

func TestSeriesOfAllShardsAreMergedInOrder(t *testing.T) {
	addr := start(t, nil, fixed(t, 200, matrix(b1)), fixed(t, 200, matrix(a1, a2)))
	status, _, body := ask(t, addr, `m`, "start=0&end=60&step=30")
	if want := matrix(a1, a2, b1); status != 200 || body != want {
		t.Fatalf("%d %s\nwant %s", status, body, want)
	}
	form := [][2]string{{"Content-Type", "application/x-www-form-urlencoded"}}
	r := standin.DoHTTP(t, addr, "POST", rangePath, form, "query=m&start=1970-01-01T00:00:00Z&end=60&step=30s")
	if want := matrix(a1, a2, b1); r.Status != 200 || string(r.Body) != want {
		t.Fatalf("by POST: %d %s", r.Status, r.Body)
	}
}

// The values are computed by hand. The two shards have 2 series and 1 series, so that a mean of their means
// would be another figure (at 0 s: 52.75 in place of 37).
func TestOutermostAggregationIsComputedOverAllShards(t *testing.T) {
	one, two := fixed(t, 200, matrix(a1, a2)), fixed(t, 200, matrix(b1))
	addr := start(t, nil, one, two)
	for query, want := range map[string]string{
		`sum(m)`:   matrix(`{"metric":{},"values":[[0,"111"],[30,"22"],[60,"NaN"]]}`),
		`avg(m)`:   matrix(`{"metric":{},"values":[[0,"37"],[30,"11"],[60,"NaN"]]}`),
		`min((m))`: matrix(`{"metric":{},"values":[[0,"1"],[30,"2"],[60,"4"]]}`),
		`(max(m))`: matrix(`{"metric":{},"values":[[0,"100"],[30,"20"],[60,"4"]]}`),
		`count(m)`: matrix(`{"metric":{},"values":[[0,"3"],[30,"2"],[60,"2"]]}`),
		`sum by (z) (m)`: matrix(`{"metric":{"z":"p"},"values":[[0,"11"],[30,"22"],[60,"4"]]}`,
			`{"metric":{"z":"q"},"values":[[0,"100"],[60,"NaN"]]}`),
		`avg without (k) (m)`: matrix(`{"metric":{"z":"p"},"values":[[0,"5.5"],[30,"11"],[60,"4"]]}`,
			`{"metric":{"z":"q"},"values":[[0,"100"],[60,"NaN"]]}`),
		`count by (absent)(m)`: matrix(`{"metric":{},"values":[[0,"3"],[30,"2"],[60,"2"]]}`),
	} {
		if status, _, body := ask(t, addr, query, "start=0&end=60&step=30"); status != 200 || body != want {
			t.Errorf("%s: %d %s\nwant %s", query, status, body, want)
		}
	}
	for _, seen := range append(one[0].Requests(), two[0].Requests()...) {
		if !strings.Contains(seen, "query=m&") && !strings.Contains(seen, "query=%28m%29&") {
			t.Errorf("a shard was asked for more than the inner expression: %s", seen)
		}
	}
}

// The step does not divide the range: the end is no point, but the servers are told of it, since an
// expression may refer to it.
func TestStepThatDoesNotDivideTheRange(t *testing.T) {
	s := fixed(t, 200, matrix(`{"metric":{"k":"1"},"values":[[10.5,"1"],[40.5,"2"],[70.5,"3"]]}`))
	addr := start(t, nil, s)
	status, _, body := ask(t, addr, `sum(m)`, "start=10.5&end=100&step=30")
	want := matrix(`{"metric":{},"values":[[10.500,"1"],[40.500,"2"],[70.500,"3"]]}`)
	if status != 200 || body != want {
		t.Fatalf("%d %s\nwant %s", status, body, want)
	}
	if seen := s[0].Requests()[0]; !strings.Contains(seen, "end=100&") || !strings.Contains(seen, "start=10.5&") {
		t.Fatal(seen)
	}
}

// Whatever makes an answer thinner than it looks refuses it where the class allows nothing less than the
// whole, and is marked where it does.
func TestWithheldPartsAndErrors(t *testing.T) {
	good := `{"metric":{"k":"1"},"values":[[0,"1"],[30,"2"]]}`
	for name, c := range map[string]struct {
		status int
		body   string
		want   int // with all shards needed
		kind   string
	}{
		"withheld":        {0, "", 503, "timeout"},
		"server error":    {500, `{"status":"error","errorType":"internal","error":"x"}`, 503, "unavailable"},
		"overloaded":      {429, ``, 503, "unavailable"},
		"not of this API": {200, `<html>`, 503, "unavailable"},
		"a warning": {200, strings.Replace(matrix(good), `"data"`, `"warnings":["thin"],"data"`, 1), 503,
			"unavailable"},
		"off the grid":   {200, matrix(`{"metric":{"k":"2"},"values":[[0,"1"],[45,"2"]]}`), 503, "unavailable"},
		"after the end":  {200, matrix(`{"metric":{"k":"2"},"values":[[0,"1"],[90,"2"]]}`), 503, "unavailable"},
		"in conflict":    {200, matrix(`{"metric":{"k":"1"},"values":[[0,"1"],[30,"3"]]}`), 503, "unavailable"},
		"thinner":        {200, matrix(`{"metric":{"k":"1"},"values":[[0,"1"]]}`), 503, "unavailable"},
		"cannot compute": {422, `{"status":"error","errorType":"execution","error":"no"}`, 422, "execution"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			withheld(t, good, c.status, c.body, c.want, c.kind)
		})
	}
}

func withheld(t *testing.T, good string, server int, reply string, want int, kind string) {
	const other = `{"metric":{"k":"9"},"values":[[0,"5"]]}`
	const rest = "start=0&end=60&step=30"
	cells := [][]*standin.HTTPServer{fixed(t, 200, matrix(good)), fixed(t, server, reply),
		fixed(t, 200, matrix(other))}
	limit := ""
	if kind == "timeout" {
		limit = "&timeout=700ms"
	}
	status, after, body := ask(t, start(t, nil, cells...), `m`, rest+limit)
	if status != want || !strings.Contains(body, `"errorType":"`+kind+`"`) || (status == 503) != (after == "1") {
		t.Errorf("%d, Retry-After %q, %s", status, after, body)
	}
	floor := map[string]any{"extra": map[string]any{"leastShare": []any{0.3}}}
	status, _, body = ask(t, start(t, floor, cells...), `m`, rest)
	marked := strings.Contains(body, `"warnings":["partial answer: `)
	if status != 200 || !marked || !strings.Contains(body, other) {
		t.Errorf("part enough: %d %s", status, body)
	}
	if strings.Contains(body, `[45,`) || strings.Contains(body, `[30,"3"]`) {
		t.Errorf("what was wrong stands in the answer: %s", body)
	}
}

// Servers that hold several shards give the same series for each of them: it counts once.
func TestTheSameSeriesTwiceCountsOnce(t *testing.T) {
	s := `{"metric":{"k":"1"},"values":[[0,"NaN"],[30,"2"]]}`
	addr := start(t, nil, fixed(t, 200, matrix(s)), fixed(t, 200, matrix(s)))
	status, _, body := ask(t, addr, `count(m)`, "start=0&end=30&step=30")
	if want := matrix(`{"metric":{},"values":[[0,"1"],[30,"1"]]}`); status != 200 || body != want {
		t.Fatalf("%d %s", status, body)
	}
}

// A silent server does not keep a shard from its answer while another holds it too.
func TestSilentServerIsHedged(t *testing.T) {
	silent := fixed(t, 0, "")
	addr := start(t, nil, append(silent, fixed(t, 200, matrix(a1))...))
	for range 5 { // at least once of these the silent one is drawn first, or it is never asked at all
		if status, _, body := ask(t, addr, `m`, "start=0&end=60&step=30"); status != 200 || body != matrix(a1) {
			t.Fatalf("%d %s", status, body)
		}
	}
}

// A short time-out after long ones is no repeat of an older query, and is served as any other.
func TestShortTimeoutAfterLongOnes(t *testing.T) {
	addr := start(t, nil, fixed(t, 200, matrix(a1)))
	for _, timeout := range []string{"10s", "2s"} {
		status, _, body := ask(t, addr, `m`, "start=0&end=60&step=30&timeout="+timeout)
		if status != 200 {
			t.Fatalf("%s: %d %s", timeout, status, body)
		}
	}
}

// Connections to a server are reused, and closed once they have been idle for too long.
func TestIdleConnectionsAreClosed(t *testing.T) {
	s := fixed(t, 200, matrix(a1))
	addr := start(t, map[string]any{"bounds": map[string]any{"connIdleUs": 300_000}}, s)
	ask(t, addr, `m`, "start=0&end=60&step=30")
	standin.WaitFor(t, "the end of the idle connection", func() bool { return s[0].OpenConns() == 0 })
}

// Both fronts on one core: the servers are discovery's, the file adds where they answer range queries, and
// what discovery tells holds for these as well: nothing goes to a server that drains.
func TestBothFrontsOnOneCore(t *testing.T) {
	drains, stays := fixed(t, 200, matrix(a1))[0], fixed(t, 200, matrix(a1))[0]
	const hosts = `{"seq":%d,"whole":%t,"hosts":[{"host":"drains","dial":"127.0.0.1:1","site":"p","health":%q,
		"share":1},{"host":"stays","dial":"127.0.0.1:1","site":"p","health":"in_service","share":1}]}`
	discovery := standin.NewHTTPServer(t, func(_ string, v url.Values) (int, string) {
		switch v.Get("index") {
		case "":
			return 200, fmt.Sprintf(hosts, 1, true, "in_service")
		case "1":
			return 200, fmt.Sprintf(hosts, 2, false, "terminating")
		}
		return 0, ""
	})
	file := &Config{Listen: "127.0.0.1:0", Class: "day-report", Servers: []Server{
		{Name: "drains", Address: drains.Addr}, {Name: "stays", Address: stays.Addr}}}
	settings, err := json.Marshal(file.Standalone())
	if err != nil {
		t.Fatal(err)
	}
	pc, err := platform.Parse([]byte(fmt.Sprintf(`{"listen":"127.0.0.1:0","discovery":%q,"settings":%s}`,
		discovery.Addr, settings)), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	addr := run(t, pc, file, false)
	standin.WaitFor(t, "the second watch", func() bool { return len(discovery.Requests()) >= 3 })
	for range 10 {
		if status, _, body := ask(t, addr, `m`, "start=0&end=60&step=30"); status != 200 || body != matrix(a1) {
			t.Fatalf("%d %s", status, body)
		}
	}
	if n := len(drains.Requests()); n != 0 {
		t.Fatalf("%d parts went to a server that drains", n)
	}
}

func TestNoRoomIsARefusal(t *testing.T) {
	addr := start(t, map[string]any{"bounds": map[string]any{"maxOpen": 1}}, fixed(t, 200, matrix(a1)))
	status, after, body := ask(t, addr, `m`, "start=0&end=60&step=30")
	if status != 503 || after != "1" || !strings.Contains(body, `"errorType":"unavailable"`) {
		t.Fatalf("%d %q %s", status, after, body)
	}
}

// A client that leaves ends its query: what is out at the servers is given up, long before any time-out.
func TestClientGoneEndsTheQuery(t *testing.T) {
	silent := fixed(t, 0, "")
	addr := start(t, nil, silent)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "GET %s?query=m&start=0&end=60&step=30 HTTP/1.1\r\nHost: x\r\n\r\n", rangePath)
	standin.WaitFor(t, "the part", func() bool { return len(silent[0].Requests()) > 0 })
	_ = c.Close()
	standin.WaitFor(t, "the end of the part", func() bool { return silent[0].Disconnects() > 0 })
}

func TestWhatIsNotServed(t *testing.T) {
	addr := start(t, nil, fixed(t, 200, matrix(a1)))
	for _, c := range []struct {
		method, target string
		status         int
		body           string
	}{
		{"GET", "/api/v1/labels", 404, `"errorType":"not_found"`},
		{"PUT", rangePath, 405, `"errorType":"bad_data"`},
		{"GET", rangePath + "?query=m&start=0&end=60&step=0", 400, `invalid parameter \"step\"`},
		{"GET", rangePath + "?query=m%7B&start=0&end=60&step=1", 400, `invalid parameter \"query\"`},
		{"GET", rangePath + "?query=topk(1,m)&start=0&end=60&step=1", 422, `"errorType":"execution"`},
		{"GET", "/-/ready", 200, "ok"},
	} {
		r := standin.DoHTTP(t, addr, c.method, c.target, nil, "")
		if r.Status != c.status || !strings.Contains(string(r.Body), c.body) {
			t.Errorf("%s %s: %d %s", c.method, c.target, r.Status, r.Body)
		}
	}
}
