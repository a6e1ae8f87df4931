package kiosk

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

// gated is a front with few descriptors: 65 for clients and nodes, 49 of them for clients.
func gated(t *testing.T, edit string) (*running, *standin.GRPCNode) {
	n := standin.NewGRPCNode(t, standin.GRPCOptions{}, text)
	return run(t, "sockets = 120\noperator = \"127.0.0.1:0\"\n"+listeners+`
[admission]
reserve = 6
track = 200
`+edit+`
[[admission.rule]]
prefix = "127.0.9.0/24"
known = true
`+classes+server("a", n.Addr, "new", 0)), n
}

// from dials from an address of its own.
func from(t testing.TB, addr, to string) net.Conn {
	t.Helper()
	c, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(addr)},
		Timeout: 5 * time.Second}).Dial("tcp", to)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// askOn sends a request on a connection and reads the reply; status 0 where the connection ended without one.
func askOn(c net.Conn, id, key string) (status int, header http.Header) {
	head, body := request(id, key, 0)
	class := "rate-check"
	if key != "" {
		class = "exchange-post"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "POST /%s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n", class, len(body))
	for _, h := range head {
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

// A crowd takes all there is, in every way of taking it; a known client still connects and is answered, who
// is refused hears so, and every admitted query gets one answer. Afterwards all is given back.
func TestKnownClientsGetInPastACrowd(t *testing.T) {
	r, n := gated(t, "")
	base := r.f.budget.InUse()
	var mu sync.Mutex
	var held []net.Conn
	keep := func(c net.Conn) { mu.Lock(); held = append(held, c); mu.Unlock() }
	var wg sync.WaitGroup
	for i := range 300 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := from(t, fmt.Sprintf("127.0.%d.%d", 20+i%3, 1+i%200), r.http)
			if i%2 == 0 { // half of a request, then nothing
				_, _ = io.WriteString(c, "POST /rate-check HTTP/1.1\r\nHost: x\r\n")
			}
			keep(c)
		}()
	}
	wg.Wait()
	standin.WaitFor(t, "the limit", func() bool { return r.f.keeper.Stats(1).General >= 43 })
	for i := range 6 {
		c := from(t, "127.0.9.1", r.http)
		keep(c)
		if status, _ := askOn(c, fmt.Sprint("known", i), ""); status != 200 {
			t.Errorf("known client %d: %d", i, status)
		}
	}
	f := r.f.keeper.Stats(5)
	if f.Reserve != 6 || f.General > 43 || f.Refused["full"] == 0 {
		t.Errorf("%+v", f)
	}
	refused, closed := 0, 0
	for range 20 {
		c := from(t, "127.0.30.1", r.http)
		switch status, head := askOn(c, "stranger", ""); {
		case status == 503 && head.Get("Retry-After") != "":
			refused++
		case status == 0:
			closed++
		default:
			t.Errorf("a stranger past the limit: %d", status)
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
	for _, c := range held {
		_ = c.Close()
	}
	mu.Unlock()
	standin.WaitFor(t, "the descriptors", func() bool {
		f := r.f.keeper.Stats(1)
		return f.General+f.Reserve+f.Proving == 0 && r.f.budget.InUse() <= base+2
	})
}

// A terminal that reconnects in a loop is held to its rate, told when to come back, and nobody else notices.
func TestLoopingTerminal(t *testing.T) {
	r, _ := gated(t, "rate = 5.0\nburst = 5.0\nopen = 4\n")
	answered, refused := 0, 0
	for i := range 60 {
		c := from(t, "127.0.40.1", r.http)
		switch status, head := askOn(c, fmt.Sprint("loop", i), ""); {
		case status == 200:
			answered++
		case status == 503 && head.Get("Retry-After") == "1", status == 0:
			refused++
		default:
			t.Errorf("%d", status)
		}
		_ = c.Close()
		if i%10 == 0 {
			o := from(t, fmt.Sprintf("127.0.41.%d", 1+i), r.http)
			if status, _ := askOn(o, fmt.Sprint("other", i), ""); status != 200 {
				t.Errorf("another terminal: %d", status)
			}
			_ = o.Close()
		}
	}
	if answered < 5 || refused < 20 {
		t.Errorf("%d answered, %d refused", answered, refused)
	}
	if f := r.f.keeper.Stats(1); f.Refused["too_fast"] == 0 || f.Top[0].Addr != "127.0.40.1" {
		t.Errorf("%+v", f)
	}
}

// Fronts by AJP go through the same gate, idle connections make way for others, and one with a request stays.
func TestAdmissionOverBothCarriers(t *testing.T) {
	r, _ := gated(t, "open = 200\n")
	busy := from(t, "127.0.50.1", r.http)
	defer busy.Close()
	var idle []net.Conn
	for i := range 60 { // more than there are places: the longest idle make way
		c := from(t, "127.0.50.2", r.http)
		idle = append(idle, c)
		if status, _ := askOn(c, fmt.Sprint("idle", i), ""); status != 200 {
			t.Fatalf("%d: %d", i, status)
		}
	}
	front := standin.DialAJP(t, r.ajp)
	head, body := request("ajp", "", 0)
	y, err := front.Do("/rate-check", head, body, "secret", "s3cret")
	if err != nil || y.Status != 200 {
		t.Errorf("AJP among idle ones: %+v, %v", y, err)
	}
	r.f.keeper.BanOrPin(netip.MustParsePrefix("127.0.0.0/8"), false, time.Minute)
	z, err := standin.DialAJP(t, r.ajp).Do("/rate-check", head, body, "secret", "s3cret")
	if err != nil || z.Status != 503 || z.Header["Retry-After"] == "" || z.Reuse {
		t.Errorf("a banned front: %+v, %v", z, err)
	}
	standin.WaitFor(t, "the end of what rests", func() bool {
		f := r.f.keeper.Stats(1)
		return f.General+f.Reserve < 5
	})
	_, fresh := load(t, strings.Replace(reloaded, "ADDR", "127.0.0.1:1", 1))
	r.f.Reload(fresh)
	if status, _ := askOn(from(t, "127.0.50.9", r.http), "banned", ""); status == 200 {
		t.Error("a ban did not outlive new settings")
	}
	r.f.keeper.Lift(netip.MustParsePrefix("127.0.0.0/8"))
	for _, c := range idle {
		_ = c.Close()
	}
}

const reloaded = "sockets = 120\n" + listeners + "[admission]\nreserve = 3\n" + classes +
	"[[server]]\nname = \"a\"\naddress = \"ADDR\"\nform = \"new\"\ncell = 0\n"

// Two clients, one known, race for the very last place again and again: the known one always gets in.
func TestTheVeryLastDescriptor(t *testing.T) {
	r, _ := gated(t, "")
	var crowd []net.Conn
	for range 43 {
		crowd = append(crowd, from(t, "127.0.60.1", r.http))
	}
	for i := range 5 {
		c := from(t, "127.0.9.9", r.http)
		crowd = append(crowd, c)
		if status, _ := askOn(c, fmt.Sprint("fill", i), ""); status != 200 {
			t.Fatalf("%d", status)
		}
	}
	standin.WaitFor(t, "one place left", func() bool {
		f := r.f.keeper.Stats(1)
		return f.General+f.Reserve == 48
	})
	var in atomic.Int64
	for i := range 10 {
		var wg sync.WaitGroup
		for _, a := range []string{"127.0.60.2", "127.0.9.8"} {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c := from(t, a, r.http)
				status, _ := askOn(c, fmt.Sprint("race", i, a), "")
				if known := strings.HasPrefix(a, "127.0.9."); known && status == 200 {
					in.Add(1)
				} else if known || status == 200 {
					t.Errorf("%s: %d", a, status)
				}
				_ = c.Close()
			}()
		}
		wg.Wait()
		standin.WaitFor(t, "the place again", func() bool {
			f := r.f.keeper.Stats(1)
			return f.General+f.Reserve == 48
		})
	}
	if in.Load() != 10 {
		t.Errorf("the known client got in %d times of 10", in.Load())
	}
	for _, c := range crowd {
		_ = c.Close()
	}
}

// By TLS: who shows a certificate that the roots have signed is known, from any address; unfinished
// handshakes hold places of their own, for a while, and never the reserve.
func TestProofByCertificate(t *testing.T) {
	ca, other := standin.NewAuthority(t), standin.NewAuthority(t)
	dir := t.TempDir()
	put := func(name string, b []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, b, 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	cert, key := ca.Issue("lapislever")
	n := standin.NewGRPCNode(t, standin.GRPCOptions{}, text)
	cfg, f := load(t, "sockets = 120\n"+listeners+fmt.Sprintf(`
[listen_tls]
cert = %q
key = %q
client_roots = %q
[admission]
reserve = 4
proving = 4
prove_s = 0.5
`, put("cert", cert), put("key", key), put("roots", ca.PEM()))+classes+server("a", n.Addr, "new", 0))
	k, err := platform.Start(cfg, standin.DiscardLogger(), f)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { k.Close(); f.router.anew.Close() })
	at, _ := f.Addrs()
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(ca.PEM())
	ask := func(addr, id string, by *standin.Authority) int {
		c := &tls.Config{RootCAs: roots, ServerName: "lapislever"}
		if by != nil {
			cert, key := by.Issue("head office")
			pair, err := tls.X509KeyPair(cert, key)
			if err != nil {
				t.Fatal(err)
			}
			c.Certificates = []tls.Certificate{pair}
		}
		status, _ := askOn(tls.Client(from(t, addr, at), c), id, "")
		return status
	}
	standin.WaitFor(t, "the first answer", func() bool { return ask("127.0.80.1", "first", nil) == 200 })
	if status := ask("127.0.80.1", "foreign", other); status != 0 {
		t.Errorf("a certificate that the roots have not signed: %d", status)
	}
	var crowd []net.Conn
	// Handshakes that never begin; their places come back after a while.
	standin.WaitFor(t, "the limit", func() bool {
		crowd = append(crowd, from(t, fmt.Sprintf("127.0.81.%d", 1+len(crowd)%200), at))
		return f.keeper.Stats(1).Refused["unproved"] > 0 // so all places were taken but the reserve
	})
	if got := f.keeper.Stats(1); got.Reserve != 0 {
		t.Errorf("unproved connections hold %d places of the reserve", got.Reserve)
	}
	// Their time passes, the places come back, and head office gets in, also with strangers asking all the
	// while.
	standin.WaitFor(t, "head office", func() bool {
		crowd = append(crowd, from(t, "127.0.82.1", at), from(t, "127.0.82.2", at))
		return ask("127.0.83.1", "office", ca) == 200
	})
	for _, c := range crowd {
		_ = c.Close()
	}
	standin.WaitFor(t, "the places", func() bool {
		f := f.keeper.Stats(1)
		return f.General+f.Reserve+f.Proving == 0
	})
}

// Operators see who is there, and ban, pin and lift.
func TestOperatorsWords(t *testing.T) {
	r, _ := gated(t, "")
	door := r.k.AdminAddr()
	call := func(method, path, body string, want int) string {
		t.Helper()
		x := standin.DoHTTP(t, door, method, path, nil, body)
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
	if status, _ := askOn(from(t, "127.0.70.5", r.http), "b", ""); status == 200 {
		t.Error("a banned client was answered")
	}
	if status, _ := askOn(from(t, "127.0.71.1", r.http), "p", ""); status != 200 {
		t.Errorf("a pinned client: %d", status)
	}
	shown := call("GET", "/admin/admission", "", 200)
	for _, want := range []string{`"banned":1`, `"prefix":"127.0.70.0/24"`, `"127.0.71.1"`} {
		if !strings.Contains(shown, want) {
			t.Errorf("%s is not in %s", want, shown)
		}
	}
	call("POST", "/admin/admission/lift", "127.0.70.0/24", 200)
	if status, _ := askOn(from(t, "127.0.70.5", r.http), "l", ""); status != 200 {
		t.Errorf("after the ban: %d", status)
	}
}

// What the file may not say, each with its line and key.
func TestAdmissionFile(t *testing.T) {
	rule := func(text string) string { return "[[admission.rule]]\nprefix = " + text }
	ten := rule("\"10.0.0.0/8\"\n")
	for text, want := range map[string]string{
		"[admission]\nopen = 0":              "f:2: admission.open: a cap of nothing",
		"[admission]\nrate = -1.0":           "f:2: admission.rate: a rate of nothing",
		"[admission]\nburst = 3.0":           "f:2: admission.burst: is of no use",
		"[admission]\nreserve = 2000":        "f:2: admission.reserve: reserve and proving are 2000 of the",
		"[admission]\ntrack = 1":             "f:2: admission.track: 1 is not",
		rule("\"10.0.0.1/8\""):               "f:2: admission.rule[1].prefix: 10.0.0.1/8 has bits",
		ten + ten:                            "f:4: admission.rule[2].prefix: 10.0.0.0/8 is there already",
		ten + "known = true\nrate = 1.0":     "f:4: admission.rule[1].rate: contradicts known",
		ten + "known = true\ngateway = true": "f:4: admission.rule[1].gateway: contradicts",
		"[listen_tls]\nclient_roots = \"x\"": "f:2: listen_tls.client_roots: is of no use",
	} {
		_, err := ParseConfig("f", text+"\n"+listenersOnly+classes+server("a", "127.0.0.1:1", "new", 0))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q", text, err, want)
		}
	}
}

const listenersOnly = "[ajp]\nlisten = \"127.0.0.1:0\"\n"
