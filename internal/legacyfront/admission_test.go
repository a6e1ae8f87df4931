package legacyfront

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lapislever/internal/platform"
	"lapislever/internal/standin"
)

// startWithAdmission starts a front with 65 descriptors for clients and nodes, 49 of them for clients.
// admission is added to the [admission] section.
func startWithAdmission(t *testing.T, admission string) (*testFront, *standin.GRPCNode) {
	n := standin.NewGRPCNode(t, standin.GRPCOptions{}, answerWithID)
	return startFront(t, "sockets = 120\noperator = \"127.0.0.1:0\"\n"+listenersTOML+`
[admission]
reserve = 6
track = 200
`+admission+`
[[admission.rule]]
prefix = "127.0.9.0/24"
known = true
`+classesTOML+serverTOML("a", n.Addr, "new", 0)), n
}

// dialFrom connects to an address from a given local address.
func dialFrom(t testing.TB, addr, to string) net.Conn {
	t.Helper()
	c, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(addr)},
		Timeout: 5 * time.Second}).Dial("tcp", to)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// requestOn sends a request on a connection and reads the reply. Status 0 means that the connection was
// closed without one.
func requestOn(c net.Conn, id, key string) (status int, replyHeader http.Header) {
	header, body := request(id, key, 0)
	class := "rate-check"
	if key != "" {
		class = "exchange-post"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "POST /%s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n", class, len(body))
	for _, h := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
	}
	_ = c.SetDeadline(time.Now().Add(15 * time.Second))
	if _, err := io.WriteString(c, b.String()+"\r\n"+body); err != nil {
		return 0, nil
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, nil
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode, r.Header
}

// Strangers take all general slots, some with half a request and some with idle connections. Known clients
// still connect and are answered, further strangers are refused or closed, and no query of theirs reaches
// the node. Once all connections are closed, every slot and descriptor is released.
func TestKnownClientsAdmittedWhenFull(t *testing.T) {
	r, n := startWithAdmission(t, "")
	base := r.front.budget.InUse()
	var mu sync.Mutex
	var open []net.Conn
	keep := func(c net.Conn) { mu.Lock(); open = append(open, c); mu.Unlock() }
	var wg sync.WaitGroup
	for i := range 300 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := dialFrom(t, fmt.Sprintf("127.0.%d.%d", 20+i%3, 1+i%200), r.http)
			if i%2 == 0 { // half a request, never completed
				_, _ = io.WriteString(c, "POST /rate-check HTTP/1.1\r\nHost: x\r\n")
			}
			keep(c)
		}()
	}
	wg.Wait()
	standin.WaitFor(t, "all general slots to be taken", func() bool {
		return r.front.admission.Stats(1).General >= 43
	})
	for i := range 6 {
		c := dialFrom(t, "127.0.9.1", r.http)
		keep(c)
		if status, _ := requestOn(c, fmt.Sprint("known", i), ""); status != 200 {
			t.Errorf("known client %d: %d", i, status)
		}
	}
	stats := r.front.admission.Stats(5)
	if stats.Reserve != 6 || stats.General > 43 || stats.Refused["full"] == 0 {
		t.Errorf("%+v", stats)
	}
	refused, closed := 0, 0
	for range 20 {
		c := dialFrom(t, "127.0.30.1", r.http)
		switch status, header := requestOn(c, "stranger", ""); {
		case status == 503 && header.Get("Retry-After") != "":
			refused++
		case status == 0:
			closed++
		default:
			t.Errorf("stranger beyond the limit: %d", status)
		}
		_ = c.Close()
	}
	if refused+closed != 20 {
		t.Errorf("%d refused, %d closed", refused, closed)
	}
	if got := len(n.Calls()); got != 6 {
		t.Errorf("%d calls reached the node for 6 admitted queries", got)
	}
	mu.Lock()
	for _, c := range open {
		_ = c.Close()
	}
	mu.Unlock()
	standin.WaitFor(t, "all slots and descriptors to be released", func() bool {
		stats := r.front.admission.Stats(1)
		return stats.General+stats.Reserve+stats.Proving == 0 && r.front.budget.InUse() <= base+2
	})
}

// A client that reconnects in a loop is limited to its rate and gets a Retry-After; other clients are
// unaffected.
func TestReconnectLoopIsRateLimited(t *testing.T) {
	r, _ := startWithAdmission(t, "rate = 5.0\nburst = 5.0\nopen = 4\n")
	answered, refused := 0, 0
	for i := range 60 {
		c := dialFrom(t, "127.0.40.1", r.http)
		switch status, header := requestOn(c, fmt.Sprint("loop", i), ""); {
		case status == 200:
			answered++
		case status == 503 && header.Get("Retry-After") == "1", status == 0:
			refused++
		default:
			t.Errorf("%d", status)
		}
		_ = c.Close()
		if i%10 == 0 {
			o := dialFrom(t, fmt.Sprintf("127.0.41.%d", 1+i), r.http)
			if status, _ := requestOn(o, fmt.Sprint("other", i), ""); status != 200 {
				t.Errorf("other client: %d", status)
			}
			_ = o.Close()
		}
	}
	if answered < 5 || refused < 20 {
		t.Errorf("%d answered, %d refused", answered, refused)
	}
	if stats := r.front.admission.Stats(1); stats.Refused["too_fast"] == 0 || stats.Top[0].Addr != "127.0.40.1" {
		t.Errorf("%+v", stats)
	}
}

// AJP connections pass through the same admission controller as HTTP connections. Idle connections are
// closed in favour of new ones. A ban closes connections of both kinds and survives a reload of the
// settings.
func TestAdmissionOverHTTPAndAJP(t *testing.T) {
	r, _ := startWithAdmission(t, "open = 200\n")
	busy := dialFrom(t, "127.0.50.1", r.http)
	defer busy.Close()
	var idle []net.Conn
	for i := range 60 { // more than the 49 slots: those idle for longest are closed
		c := dialFrom(t, "127.0.50.2", r.http)
		idle = append(idle, c)
		if status, _ := requestOn(c, fmt.Sprint("idle", i), ""); status != 200 {
			t.Fatalf("%d: %d", i, status)
		}
	}
	proxy := standin.DialAJP(t, r.ajp)
	header, body := request("ajp", "", 0)
	y, err := proxy.Do("/rate-check", header, body, "secret", "s3cret")
	if err != nil || y.Status != 200 {
		t.Errorf("AJP request with all slots taken by idle connections: %+v, %v", y, err)
	}
	r.front.admission.BanOrPin(netip.MustParsePrefix("127.0.0.0/8"), false, time.Minute)
	z, err := standin.DialAJP(t, r.ajp).Do("/rate-check", header, body, "secret", "s3cret")
	if err != nil || z.Status != 503 || z.Header["Retry-After"] == "" || z.Reuse {
		t.Errorf("AJP request of a banned address: %+v, %v", z, err)
	}
	standin.WaitFor(t, "the idle connections to close", func() bool {
		stats := r.front.admission.Stats(1)
		return stats.General+stats.Reserve < 5
	})
	_, fresh := newFront(t, strings.Replace(reloadedTOML, "ADDR", "127.0.0.1:1", 1))
	r.front.Reload(fresh)
	if status, _ := requestOn(dialFrom(t, "127.0.50.9", r.http), "banned", ""); status == 200 {
		t.Error("the ban did not survive a reload of the settings")
	}
	r.front.admission.Lift(netip.MustParsePrefix("127.0.0.0/8"))
	for _, c := range idle {
		_ = c.Close()
	}
}

const reloadedTOML = "sockets = 120\n" + listenersTOML + "[admission]\nreserve = 3\n" + classesTOML +
	"[[server]]\nname = \"a\"\naddress = \"ADDR\"\nform = \"new\"\ncell = 0\n"

// A known client and a stranger repeatedly race for the last slot: the known one is always admitted.
func TestKnownClientGetsLastDescriptor(t *testing.T) {
	r, _ := startWithAdmission(t, "")
	var crowd []net.Conn
	for range 43 {
		crowd = append(crowd, dialFrom(t, "127.0.60.1", r.http))
	}
	for i := range 5 {
		c := dialFrom(t, "127.0.9.9", r.http)
		crowd = append(crowd, c)
		if status, _ := requestOn(c, fmt.Sprint("fill", i), ""); status != 200 {
			t.Fatalf("%d", status)
		}
	}
	standin.WaitFor(t, "all slots but one to be taken", func() bool {
		stats := r.front.admission.Stats(1)
		return stats.General+stats.Reserve == 48
	})
	var admitted atomic.Int64
	for i := range 10 {
		var wg sync.WaitGroup
		for _, a := range []string{"127.0.60.2", "127.0.9.8"} {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c := dialFrom(t, a, r.http)
				status, _ := requestOn(c, fmt.Sprint("race", i, a), "")
				if known := strings.HasPrefix(a, "127.0.9."); known && status == 200 {
					admitted.Add(1)
				} else if known || status == 200 {
					t.Errorf("%s: %d", a, status)
				}
				_ = c.Close()
			}()
		}
		wg.Wait()
		standin.WaitFor(t, "the last slot to be released", func() bool {
			stats := r.front.admission.Stats(1)
			return stats.General+stats.Reserve == 48
		})
	}
	if admitted.Load() != 10 {
		t.Errorf("the known client was admitted %d times of 10", admitted.Load())
	}
	for _, c := range crowd {
		_ = c.Close()
	}
}

// With TLS, a client with a certificate signed by one of the roots is known, whatever its address.
// Connections with an unfinished handshake take separate slots, for a limited time, and never the reserve.
func TestClientCertificateMakesKnown(t *testing.T) {
	ca, other := standin.NewAuthority(t), standin.NewAuthority(t)
	dir := t.TempDir()
	writeFile := func(name string, b []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, b, 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	cert, key := ca.Issue("lapislever")
	n := standin.NewGRPCNode(t, standin.GRPCOptions{}, answerWithID)
	cfg, f := newFront(t, "sockets = 120\n"+listenersTOML+fmt.Sprintf(`
[listen_tls]
cert = %q
key = %q
client_roots = %q
[admission]
reserve = 4
proving = 4
prove_s = 0.5
`, writeFile("cert", cert), writeFile("key", key), writeFile("roots", ca.PEM()))+classesTOML+
		serverTOML("a", n.Addr, "new", 0))
	coordinator, err := platform.Start(cfg, standin.DiscardLogger(), f)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { coordinator.Close(); f.router.newNodes.Close() })
	frontAddr, _ := f.Addrs()
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(ca.PEM())
	ask := func(addr, id string, authority *standin.Authority) int {
		c := &tls.Config{RootCAs: roots, ServerName: "lapislever"}
		if authority != nil {
			cert, key := authority.Issue("head office")
			pair, err := tls.X509KeyPair(cert, key)
			if err != nil {
				t.Fatal(err)
			}
			c.Certificates = []tls.Certificate{pair}
		}
		status, _ := requestOn(tls.Client(dialFrom(t, addr, frontAddr), c), id, "")
		return status
	}
	standin.WaitFor(t, "the first request to be answered", func() bool {
		return ask("127.0.80.1", "first", nil) == 200
	})
	if status := ask("127.0.80.1", "foreign", other); status != 0 {
		t.Errorf("certificate not signed by a root: %d", status)
	}
	var crowd []net.Conn
	// Connections that never begin the handshake. Their slots are released after prove_s.
	standin.WaitFor(t, "all slots outside the reserve to be taken", func() bool {
		crowd = append(crowd, dialFrom(t, fmt.Sprintf("127.0.81.%d", 1+len(crowd)%200), frontAddr))
		return f.admission.Stats(1).Refused["unproved"] > 0 // all slots but the reserve were taken
	})
	if got := f.admission.Stats(1); got.Reserve != 0 {
		t.Errorf("connections without a handshake hold %d slots of the reserve", got.Reserve)
	}
	// Their time passes, the slots are released, and a client with a certificate is admitted even while
	// strangers keep connecting.
	standin.WaitFor(t, "the client with a certificate to be answered", func() bool {
		crowd = append(crowd, dialFrom(t, "127.0.82.1", frontAddr), dialFrom(t, "127.0.82.2", frontAddr))
		return ask("127.0.83.1", "office", ca) == 200
	})
	for _, c := range crowd {
		_ = c.Close()
	}
	standin.WaitFor(t, "all slots to be released", func() bool {
		stats := f.admission.Stats(1)
		return stats.General+stats.Reserve+stats.Proving == 0
	})
}

// The admin endpoints show the admission state, and ban, pin and lift prefixes.
func TestAdmissionAdminEndpoints(t *testing.T) {
	r, _ := startWithAdmission(t, "")
	admin := r.coordinator.AdminAddr()
	call := func(method, path, body string, want int) string {
		t.Helper()
		x := standin.DoHTTP(t, admin, method, path, nil, body)
		if x.Status != want {
			t.Errorf("%s %s %q: %d %s", method, path, body, x.Status, x.Body)
		}
		return string(x.Body)
	}
	call("POST", "/admin/admission/ban", "127.0.70.0/24 1h", 200)
	call("POST", "/admin/admission/pin", "127.0.71.1 1h", 200)
	call("POST", "/admin/admission/ban", "nonsense 1h", 400)
	call("POST", "/admin/admission/ban", "127.0.70.0/24", 400)
	call("GET", "/admin/admission/ban", "", 405)
	if status, _ := requestOn(dialFrom(t, "127.0.70.5", r.http), "b", ""); status == 200 {
		t.Error("banned client was answered")
	}
	if status, _ := requestOn(dialFrom(t, "127.0.71.1", r.http), "p", ""); status != 200 {
		t.Errorf("pinned client: %d", status)
	}
	shown := call("GET", "/admin/admission", "", 200)
	for _, want := range []string{`"banned":1`, `"prefix":"127.0.70.0/24"`, `"127.0.71.1"`} {
		if !strings.Contains(shown, want) {
			t.Errorf("%s is missing in %s", want, shown)
		}
	}
	call("POST", "/admin/admission/lift", "127.0.70.0/24", 200)
	if status, _ := requestOn(dialFrom(t, "127.0.70.5", r.http), "l", ""); status != 200 {
		t.Errorf("after lifting the ban: %d", status)
	}
}

// Invalid settings are reported with their line and key.
func TestAdmissionConfigErrors(t *testing.T) {
	rule := func(text string) string { return "[[admission.rule]]\nprefix = " + text }
	valid := rule("\"10.0.0.0/8\"\n")
	for text, want := range map[string]string{
		"[admission]\nopen = 0":                "f:2: admission.open: a cap of nothing",
		"[admission]\nrate = -1.0":             "f:2: admission.rate: a rate of nothing",
		"[admission]\nburst = 3.0":             "f:2: admission.burst: is of no use",
		"[admission]\nreserve = 2000":          "f:2: admission.reserve: reserve and proving are 2000 of the",
		"[admission]\ntrack = 1":               "f:2: admission.track: 1 is not",
		rule("\"10.0.0.1/8\""):                 "f:2: admission.rule[1].prefix: 10.0.0.1/8 has bits",
		valid + valid:                          "f:4: admission.rule[2].prefix: 10.0.0.0/8 is there already",
		valid + "known = true\nrate = 1.0":     "f:4: admission.rule[1].rate: contradicts known",
		valid + "known = true\ngateway = true": "f:4: admission.rule[1].gateway: contradicts",
		"[listen_tls]\nclient_roots = \"x\"":   "f:2: listen_tls.client_roots: is of no use",
	} {
		_, err := ParseConfig("f", text+"\n"+ajpListenerTOML+classesTOML+serverTOML("a", "127.0.0.1:1", "new", 0))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}

const ajpListenerTOML = "[ajp]\nlisten = \"127.0.0.1:0\"\n"
