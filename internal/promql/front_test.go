package promql

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"
	"unicode/utf8"

	"lapislever/internal/platform"
	"lapislever/internal/standin"
)

// matrixReply returns a server's reply with the given series.
func matrixReply(series ...string) string {
	return `{"status":"success","data":{"resultType":"matrix","result":[` + strings.Join(series, ",") + `]}}`
}

// startAlone starts a coordinator without the platform, with one cell per list of servers and with settings
// that override the defaults. It returns the front's address.
func startAlone(t *testing.T, settings map[string]any, cells ...[]*standin.HTTPServer) string {
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
	return startFront(t, pc, cfg, true)
}

// startFront starts a coordinator with the front and returns the front's address.
func startFront(t *testing.T, pc *platform.Config, cfg *Config, alone bool) string {
	t.Helper()
	_, addr := startFrontOf(t, pc, cfg, alone)
	return addr
}

// startFrontOf does the same and returns the coordinator as well.
func startFrontOf(t *testing.T, pc *platform.Config, cfg *Config, alone bool) (k *platform.Coordinator,
	addr string) {
	t.Helper()
	f, err := New(cfg, Environment{Config: pc, Standalone: alone, Log: standin.DiscardLogger()})
	if err != nil {
		t.Fatal(err)
	}
	k, err = platform.Start(pc, standin.DiscardLogger(), f)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.Close)
	return k, f.Addr()
}

// fixedServer starts a server that gives the same reply to every query. Status 0: it never replies.
func fixedServer(t *testing.T, status int, body string) []*standin.HTTPServer {
	return []*standin.HTTPServer{
		standin.NewHTTPServer(t, func(string, url.Values) (int, string) { return status, body })}
}

// queryRange sends a range query and returns the reply's status, Retry-After and body.
func queryRange(t *testing.T, addr, query, rest string) (int, string, string) {
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
	addr := startAlone(t, nil, fixedServer(t, 200, matrixReply(b1)), fixedServer(t, 200, matrixReply(a1, a2)))
	status, _, body := queryRange(t, addr, `m`, "start=0&end=60&step=30")
	if want := matrixReply(a1, a2, b1); status != 200 || body != want {
		t.Fatalf("%d %s\nwant %s", status, body, want)
	}
	form := [][2]string{{"Content-Type", "application/x-www-form-urlencoded"}}
	r := standin.DoHTTP(t, addr, "POST", rangePath, form, "query=m&start=1970-01-01T00:00:00Z&end=60&step=30s")
	if want := matrixReply(a1, a2, b1); r.Status != 200 || string(r.Body) != want {
		t.Fatalf("by POST: %d %s", r.Status, r.Body)
	}
}

// The expected values are computed by hand. The two shards have 2 series and 1 series, so a mean of the
// shards' means would differ (at 0 s: 52.75 instead of 37).
func TestOutermostAggregationIsComputedOverAllShards(t *testing.T) {
	one, two := fixedServer(t, 200, matrixReply(a1, a2)), fixedServer(t, 200, matrixReply(b1))
	addr := startAlone(t, nil, one, two)
	for query, want := range map[string]string{
		`sum(m)`:   matrixReply(`{"metric":{},"values":[[0,"111"],[30,"22"],[60,"NaN"]]}`),
		`avg(m)`:   matrixReply(`{"metric":{},"values":[[0,"37"],[30,"11"],[60,"NaN"]]}`),
		`min((m))`: matrixReply(`{"metric":{},"values":[[0,"1"],[30,"2"],[60,"4"]]}`),
		`(max(m))`: matrixReply(`{"metric":{},"values":[[0,"100"],[30,"20"],[60,"4"]]}`),
		`count(m)`: matrixReply(`{"metric":{},"values":[[0,"3"],[30,"2"],[60,"2"]]}`),
		`sum by (z) (m)`: matrixReply(`{"metric":{"z":"p"},"values":[[0,"11"],[30,"22"],[60,"4"]]}`,
			`{"metric":{"z":"q"},"values":[[0,"100"],[60,"NaN"]]}`),
		`avg without (k) (m)`: matrixReply(`{"metric":{"z":"p"},"values":[[0,"5.5"],[30,"11"],[60,"4"]]}`,
			`{"metric":{"z":"q"},"values":[[0,"100"],[60,"NaN"]]}`),
		`count by (absent)(m)`: matrixReply(`{"metric":{},"values":[[0,"3"],[30,"2"],[60,"2"]]}`),
	} {
		if status, _, body := queryRange(t, addr, query, "start=0&end=60&step=30"); status != 200 || body != want {
			t.Errorf("%s: %d %s\nwant %s", query, status, body, want)
		}
	}
	for _, seen := range append(one[0].Requests(), two[0].Requests()...) {
		if !strings.Contains(seen, "query=m&") && !strings.Contains(seen, "query=%28m%29&") {
			t.Errorf("a shard was sent something other than the inner expression: %s", seen)
		}
	}
}

// If the step does not divide the range, the end is no evaluation timestamp. It is still passed to the
// servers, since an expression may refer to it.
func TestStepThatDoesNotDivideTheRange(t *testing.T) {
	s := fixedServer(t, 200, matrixReply(`{"metric":{"k":"1"},"values":[[10.5,"1"],[40.5,"2"],[70.5,"3"]]}`))
	addr := startAlone(t, nil, s)
	status, _, body := queryRange(t, addr, `sum(m)`, "start=10.5&end=100&step=30")
	want := matrixReply(`{"metric":{},"values":[[10.500,"1"],[40.500,"2"],[70.500,"3"]]}`)
	if status != 200 || body != want {
		t.Fatalf("%d %s\nwant %s", status, body, want)
	}
	if seen := s[0].Requests()[0]; !strings.Contains(seen, "end=100&") ||
		!strings.Contains(seen, "start=10.5&") {
		t.Fatal(seen)
	}
}

// A shard whose reply is missing or unusable makes the query be refused if the class needs all shards. If the
// class's floor allows a partial answer, the answer is marked as partial.
func TestUnusableShardReplies(t *testing.T) {
	good := `{"metric":{"k":"1"},"values":[[0,"1"],[30,"2"]]}`
	for name, c := range map[string]struct {
		status    int
		body      string
		want      int // status if all shards are needed
		errorType string
	}{
		"no reply":        {0, "", 503, "timeout"},
		"server error":    {500, `{"status":"error","errorType":"internal","error":"x"}`, 503, "unavailable"},
		"overloaded":      {429, ``, 503, "unavailable"},
		"not of this API": {200, `<html>`, 503, "unavailable"},
		"a warning": {200, strings.Replace(matrixReply(good), `"data"`, `"warnings":["thin"],"data"`, 1), 503,
			"unavailable"},
		"between steps": {200, matrixReply(`{"metric":{"k":"2"},"values":[[0,"1"],[45,"2"]]}`), 503,
			"unavailable"},
		"after the end": {200, matrixReply(`{"metric":{"k":"2"},"values":[[0,"1"],[90,"2"]]}`), 503,
			"unavailable"},
		"in conflict": {200, matrixReply(`{"metric":{"k":"1"},"values":[[0,"1"],[30,"3"]]}`), 503,
			"unavailable"},
		"noise in a label": {200, matrixReply("{\"metric\":{\"k\":\"\xb5\"},\"values\":[[0,\"1\"]]}"), 503,
			"unavailable"},
		"half a surrogate pair": {200, matrixReply(`{"metric":{"k":"\ud83d"},"values":[[0,"1"]]}`), 503,
			"unavailable"},
		"noise in an info": {200, strings.Replace(matrixReply(good), `"data"`, "\"infos\":[\"\xff\"],\"data\"", 1),
			503, "unavailable"},
		"noise in an error": {422, "{\"status\":\"error\",\"errorType\":\"execution\",\"error\":\"\xff\"}", 503,
			"unavailable"},
		"fewer samples":  {200, matrixReply(`{"metric":{"k":"1"},"values":[[0,"1"]]}`), 503, "unavailable"},
		"cannot compute": {422, `{"status":"error","errorType":"execution","error":"no"}`, 422, "execution"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkUnusableReply(t, good, c.status, c.body, c.want, c.errorType)
		})
	}
}

// checkUnusableReply queries three shards, one of which gives the server reply. It checks what the client
// receives with all shards needed, and with a floor of 0.3.
func checkUnusableReply(t *testing.T, good string, serverStatus int, serverReply string, want int,
	errorType string) {
	const other = `{"metric":{"k":"9"},"values":[[0,"5"]]}`
	const rest = "start=0&end=60&step=30"
	cells := [][]*standin.HTTPServer{fixedServer(t, 200, matrixReply(good)),
		fixedServer(t, serverStatus, serverReply), fixedServer(t, 200, matrixReply(other))}
	timeout := ""
	if errorType == "timeout" {
		timeout = "&timeout=700ms"
	}
	status, after, body := queryRange(t, startAlone(t, nil, cells...), `m`, rest+timeout)
	if status != want || !strings.Contains(body, `"errorType":"`+errorType+`"`) ||
		(status == 503) != (after == "1") {
		t.Errorf("%d, Retry-After %q, %s", status, after, body)
	}
	floor := map[string]any{"extra": map[string]any{"leastShare": []any{0.3}}}
	status, _, body = queryRange(t, startAlone(t, floor, cells...), `m`, rest)
	marked := strings.Contains(body, `"warnings":["partial answer: `)
	if status != 200 || !marked || !strings.Contains(body, other) {
		t.Errorf("partial answer allowed: %d %s", status, body)
	}
	if strings.ContainsRune(body, utf8.RuneError) {
		t.Errorf("the answer contains text that no server sent: %s", body)
	}
	if strings.Contains(body, `[45,`) || strings.Contains(body, `[30,"3"]`) {
		t.Errorf("the answer contains a rejected sample: %s", body)
	}
}

// A server that holds several shards returns the same series for each of them. The series counts once.
func TestDuplicateSeriesCountOnce(t *testing.T) {
	s := `{"metric":{"k":"1"},"values":[[0,"NaN"],[30,"2"]]}`
	addr := startAlone(t, nil, fixedServer(t, 200, matrixReply(s)), fixedServer(t, 200, matrixReply(s)))
	status, _, body := queryRange(t, addr, `count(m)`, "start=0&end=30&step=30")
	if want := matrixReply(`{"metric":{},"values":[[0,"1"],[30,"1"]]}`); status != 200 || body != want {
		t.Fatalf("%d %s", status, body)
	}
}

// If a server does not answer, another server of the shard does.
func TestSilentServerIsHedged(t *testing.T) {
	silent := fixedServer(t, 0, "")
	addr := startAlone(t, nil, append(silent, fixedServer(t, 200, matrixReply(a1))...))
	for range 5 { // the silent server is chosen first at least once, unless it is never chosen at all
		if status, _, body := queryRange(t, addr, `m`, "start=0&end=60&step=30"); status != 200 ||
			body != matrixReply(a1) {
			t.Fatalf("%d %s", status, body)
		}
	}
}

// A query with a short time-out after one with a long time-out is no retry of the older one, and is served
// like any other. Taken for its last retry, it would be refused as too late.
func TestShortTimeoutAfterLongOnes(t *testing.T) {
	addr := startAlone(t, nil, fixedServer(t, 200, matrixReply(a1)))
	for _, timeout := range []string{"10s", "2s"} {
		status, _, body := queryRange(t, addr, `m`, "start=0&end=60&step=30&timeout="+timeout)
		if status != 200 {
			t.Fatalf("%s: %d %s", timeout, status, body)
		}
	}
}

// Connections to a server are kept for reuse, and closed once they have been idle for too long.
func TestIdleConnectionsAreClosed(t *testing.T) {
	s := fixedServer(t, 200, matrixReply(a1))
	addr := startAlone(t, map[string]any{"bounds": map[string]any{"connIdleUs": 300_000}}, s)
	queryRange(t, addr, `m`, "start=0&end=60&step=30")
	standin.WaitFor(t, "the end of the idle connection", func() bool { return s[0].OpenConns() == 0 })
}

// Guards against a query that is answered with what a server sent before it was asked: a second copy of its
// last answer, or noise, while nothing was due on the connection.
func TestUnsolicitedInputEndsAConnection(t *testing.T) {
	for name, surplus := range map[string]func(reply string) string{
		"a second copy": func(reply string) string { return reply },
		"noise":         func(string) string { return "\x00\xff\r\n" },
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = l.Close() })
			var surplusSent atomic.Int64
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go serveWithSurplus(c, surplus, &surplusSent)
				}
			}()
			addr := startAlone(t, nil, []*standin.HTTPServer{{Addr: l.Addr().String()}})
			for i, metric := range []string{"m0", "m1", "m2"} {
				status, _, body := queryRange(t, addr, metric, "start=0&end=60&step=30")
				if status != 200 || !strings.Contains(body, `"__name__":"`+metric+`"`) {
					t.Fatalf("%s: %d %s", metric, status, body)
				}
				standin.WaitFor(t, "the surplus", func() bool { return surplusSent.Load() == int64(i+1) })
			}
		})
	}
}

// serveWithSurplus answers each request on a connection with one series of the metric that it asks for, and
// then writes what surplus makes of the reply. It counts these writes.
func serveWithSurplus(c net.Conn, surplus func(reply string) string, sent *atomic.Int64) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if err := r.ParseForm(); err != nil {
			return
		}
		body := matrixReply(fmt.Sprintf(`{"metric":{"__name__":%q},"values":[[0,"1"],[30,"2"],[60,"4"]]}`,
			r.Form.Get("query")))
		reply := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
			len(body), body)
		if _, err := io.WriteString(c, reply); err != nil {
			return
		}
		time.Sleep(10 * time.Millisecond) // the reply has been read as a whole by then
		_, _ = io.WriteString(c, surplus(reply))
		sent.Add(1)
	}
}

// Guards against range queries that follow the wrong rules under new settings: those of a client that may not
// have learnt of the change are served by the old rules, and one that is open keeps them to its end.
func TestRangeQueriesFollowTheRulesAtTheirArrival(t *testing.T) {
	lane := func(name, effect string, floor float64) *Config {
		return &Config{Listen: "127.0.0.1:0", Class: "day-report", Settings: map[string]any{
			"extra": map[string]any{"leastShare": []any{floor}, "classNeed": []any{1.0}},
			"lanes": []any{map[string]any{"name": name, "goalTimeUs": 1_000_000, "hardLimitUs": 3_000_000,
				"idempotency": effect, "worth": 5, "lateWorth": 0}}}}
	}
	for name, c := range map[string]struct {
		after *Config
		later int // status once the new rules alone bind
	}{
		"dropped":        {lane("another", "read_like", 1), 503},
		"not repeatable": {lane("day-report", "non_idempotent", 1), 503},
		"another floor":  {lane("day-report", "read_like", 0), 200},
	} {
		t.Run(name, func(t *testing.T) {
			var answers atomic.Bool
			release := make(chan struct{})
			asked := make(chan struct{}, 100)
			good := standin.NewHTTPServer(t, func(string, url.Values) (int, string) { return 200, matrixReply(a1) })
			bad := standin.NewHTTPServer(t, func(string, url.Values) (int, string) {
				asked <- struct{}{}
				<-release
				if answers.Load() {
					return 200, matrixReply(a1)
				}
				return 500, "no"
			})
			servers := []Server{{Name: "good", Address: good.Addr, Cell: 0}, {Name: "bad", Address: bad.Addr, Cell: 1}}
			file := lane("day-report", "read_like", 1)
			file.Servers, c.after.Servers = servers, servers
			pc, err := platform.Standalone(file.Standalone())
			if err != nil {
				t.Fatal(err)
			}
			k, addr := startFrontOf(t, pc, file, true)
			ask := func() int {
				status, _, _ := queryRange(t, addr, `m`, "start=0&end=60&step=30")
				return status
			}
			open := make(chan int, 1)
			go func() { open <- ask() }()
			<-asked
			fresh, err := platform.Standalone(c.after.Standalone())
			if err != nil {
				t.Fatal(err)
			}
			if err := k.Reload(fresh); err != nil {
				t.Fatal(err)
			}
			close(release)
			if got := <-open; got != 503 {
				t.Errorf("an open query that lacks a shard got %d: the floor of its rules is the whole", got)
			}
			answers.Store(true)
			if got := ask(); got != 200 {
				t.Errorf("a query just after the change got %d", got)
			}
			standin.WaitFor(t, "the new rules", func() bool { return ask() == c.later })
		})
	}
}

// With both fronts on one core, discovery gives the list of servers, and the front's file only adds the
// addresses for range queries. Discovery's states apply to range queries too: a draining server gets none.
func TestBothFrontsOnOneCore(t *testing.T) {
	drains, stays := fixedServer(t, 200, matrixReply(a1))[0], fixedServer(t, 200, matrixReply(a1))[0]
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
	addr := startFront(t, pc, file, false)
	standin.WaitFor(t, "the second watch", func() bool { return len(discovery.Requests()) >= 3 })
	standin.WaitFor(t, "readiness", func() bool {
		return standin.DoHTTP(t, addr, "GET", "/-/ready", nil, "").Status == 200
	})
	for range 10 {
		if status, _, body := queryRange(t, addr, `m`, "start=0&end=60&step=30"); status != 200 ||
			body != matrixReply(a1) {
			t.Fatalf("%d %s", status, body)
		}
	}
	if n := len(drains.Requests()); n != 0 {
		t.Fatalf("%d parts were sent to a draining server", n)
	}
}

// maxOpen 1 leaves no room for a query with one part.
func TestFullCoreRefusesQueries(t *testing.T) {
	addr := startAlone(t, map[string]any{"bounds": map[string]any{"maxOpen": 1}},
		fixedServer(t, 200, matrixReply(a1)))
	status, after, body := queryRange(t, addr, `m`, "start=0&end=60&step=30")
	if status != 503 || after != "1" || !strings.Contains(body, `"errorType":"unavailable"`) {
		t.Fatalf("%d %q %s", status, after, body)
	}
}

// When a client disconnects, its query ends and its attempts at the servers are cancelled, well before any
// time-out.
func TestClientDisconnectEndsTheQuery(t *testing.T) {
	silent := fixedServer(t, 0, "")
	addr := startAlone(t, nil, silent)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "GET %s?query=m&start=0&end=60&step=30 HTTP/1.1\r\nHost: x\r\n\r\n", rangePath)
	standin.WaitFor(t, "the part", func() bool { return len(silent[0].Requests()) > 0 })
	_ = c.Close()
	standin.WaitFor(t, "the end of the part", func() bool { return silent[0].Disconnects() > 0 })
}

func TestInvalidRequests(t *testing.T) {
	addr := startAlone(t, nil, fixedServer(t, 200, matrixReply(a1)))
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

// Guards against sound series that are rejected beside the check for noise: labels of all texts come through.
func TestLabelsOfAllTextsAreServed(t *testing.T) {
	for _, label := range []string{"příjem", "\uFFFD", `\ud83d\ude00`, `\\ud83d`, `\u0000`} {
		series := `{"metric":{"k":"` + label + `"},"values":[[0,"1"]]}`
		addr := startAlone(t, nil, fixedServer(t, 200, matrixReply(series)))
		status, _, body := queryRange(t, addr, `m`, "start=0&end=60&step=30")
		var got, want envelope
		if json.Unmarshal([]byte(body), &got) != nil || json.Unmarshal([]byte(matrixReply(series)), &want) != nil {
			t.Fatal(body)
		}
		if status != 200 || got.Data.Result[0].Metric["k"] != want.Data.Result[0].Metric["k"] {
			t.Errorf("%q: %d %s", label, status, body)
		}
	}
}
