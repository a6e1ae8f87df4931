package fleet

import (
	"bytes"
	"crypto/rand"
	"encoding/base64"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lapislever/internal/membership"
	"lapislever/internal/standin"
)

func writeFile(t testing.TB, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func newKey() string {
	var b [keySize]byte
	_, _ = rand.Read(b[:])
	return base64.StdEncoding.EncodeToString(b[:])
}

const validSettings = `[fleet]
name = "a1"
zone = "praha"
listen = "127.0.0.1:7946"
join = ["127.0.0.2:7946", "127.0.0.1:7946"]
roster = ["a1", "b1"]
[fleet.route]
b1 = "127.1.0.2:7946"
`

func TestSettingsFile(t *testing.T) {
	dir := t.TempDir()
	c, err := Load(writeFile(t, dir, "ok.toml", validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if len(c.view.Join) != 1 || c.view.Route["b1"].String() != "127.1.0.2:7946" ||
		c.Period() != 200*time.Millisecond ||
		c.MaxMembers() != 2 || c.RosterIndex() != 0 {
		t.Fatalf("%+v", c)
	}
	other, err := Load(writeFile(t, dir, "other.toml",
		strings.Replace(validSettings, `"b1"]`, `"b1", "c1"]`, 1)))
	if err != nil || other.view.Stamp == c.view.Stamp {
		t.Fatal("different rosters have the same stamp", err)
	}
	writeFile(t, dir, "short.keys", "AAAA\n")
	// All faults of a file are reported at once, each with its line.
	bad := `[fleet]
name = "a 1"
zone = "` + strings.Repeat("z", 99) + `"
listen = "localhost:1"
join = ["10.0.0.1:7946", "10.0.0.1:7946"]
keys = "short.keys"
roster = ["b1", "b1"]
most = 3
colour = "red"
[fleet.route]
b1 = "nowhere"
[fleet.detect]
period_ms = 1
[fleet.evidence]
share = 0.7
`
	_, err = Load(writeFile(t, dir, "bad.toml", bad))
	if err == nil {
		t.Fatal("an invalid file was accepted")
	}
	for _, want := range []string{"bad.toml:2: fleet.name", "bad.toml:3: fleet.zone", "bad.toml:4: fleet.listen",
		"bad.toml:5: fleet.join: 10.0.0.1:7946 is there twice", "bad.toml:6: fleet.keys", "short.keys:1",
		"bad.toml:7: fleet.roster: b1 is there twice", "bad.toml:7: fleet.roster: lacks this member",
		"bad.toml:8: fleet.most", "bad.toml:9: unknown key fleet.colour", "bad.toml:11: fleet.route.b1",
		"bad.toml:13: fleet.detect.period_ms", "bad.toml:15: fleet.evidence.share"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("not reported: %s", want)
		}
	}
	if strings.Contains(err.Error(), "AAAA") {
		t.Error("the error contains a key's text")
	}
	for what, edit := range map[string][2]string{
		"without it loopback addresses only": {"127.0.0.2", "10.0.0.2"},
		"one has to be there":                {`roster = ["a1", "b1"]`, ""},
	} {
		_, err := Load(writeFile(t, dir, "x.toml", strings.Replace(validSettings, edit[0], edit[1], 1)))
		if err == nil || !strings.Contains(err.Error(), what) {
			t.Errorf("%s: %v", what, err)
		}
	}
}

func newKeyring(t testing.TB, keys ...string) *keyring {
	t.Helper()
	if len(keys) == 0 {
		return &keyring{}
	}
	k, err := loadKeys(writeFile(t, t.TempDir(), "keys", "# ours\n\n"+strings.Join(keys, "\n")+"\n"))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// Each datagram that cannot be unsealed is rejected with the matching error.
func TestSealAndOpen(t *testing.T) {
	k1, k2 := newKey(), newKey()
	first, both, second, plain := newKeyring(t, k1), newKeyring(t, k2, k1), newKeyring(t, k2), newKeyring(t)
	content := bytes.Repeat([]byte("x"), membership.MaxPlain)
	sealed, open := first.seal(content), plain.seal(content)
	if len(sealed) > maxDatagram || len(open) > maxDatagram {
		t.Fatalf("%d and %d bytes", len(sealed), len(open))
	}
	flip := func(b []byte, at int) []byte {
		c := bytes.Clone(b)
		c[at] ^= 4
		return c
	}
	for _, c := range []struct {
		what string
		k    *keyring
		b    []byte
		err  error
	}{
		{"same key", first, sealed, nil}, {"second key", both, sealed, nil}, {"no key", plain, open, nil},
		{"other key", second, sealed, errUnknownKey}, {"none of ours", plain, sealed, errUnknownKey},
		{"unsealed", first, open, errUnsealed}, {"long", plain, append(bytes.Clone(sealed), 'x'), errTooLong},
		{"empty", first, nil, errTruncated}, {"truncated", first, sealed[:20], errTruncated},
		{"truncated plain", plain, open[:9], errTruncated},
		{"a bit", first, flip(sealed, 100), errDamaged}, {"nonce", first, flip(sealed, 5), errDamaged},
		{"the end is gone", first, sealed[:len(sealed)-1], errDamaged},
		{"plain bit", plain, flip(open, 40), errDamaged},
		{"version", first, append([]byte{0xF7}, sealed[1:]...), errVersion},
		{"the module's own message", first, []byte("\x31abcde"), errForeign},
	} {
		if c.what == "long" {
			c.b = append(bytes.Clone(sealed), 'x')
		}
		got, err := c.k.open(c.b)
		if !errors.Is(err, c.err) || err == nil && !bytes.Equal(got, content) {
			t.Errorf("%s: %v, not %v", c.what, err, c.err)
		}
	}
	if again := first.seal(content); bytes.Equal(again, sealed) {
		t.Error("sealing the same content twice gave the same datagram")
	}
}

func FuzzOpen(f *testing.F) {
	k, plain := newKeyring(f, newKey()), newKeyring(f)
	f.Add(k.seal([]byte("content")))
	f.Add(plain.seal([]byte("content")))
	f.Fuzz(func(t *testing.T, b []byte) {
		for _, x := range []*keyring{k, plain} {
			if got, err := x.open(b); err == nil && len(got) == 0 {
				t.Fatal("a datagram without content was accepted")
			}
		}
	})
}

// Dropped datagrams are counted by reason in the admin status and have no other effect.
func TestBadDatagramsAreCounted(t *testing.T) {
	c, err := Load(writeFile(t, t.TempDir(), "f.toml", strings.NewReplacer("127.0.0.1:7946", "127.0.0.1:17999",
		`"127.0.0.2:7946", `, "").Replace(validSettings)))
	if err != nil {
		t.Fatal(err)
	}
	f, err := Open(c, standin.DiscardLogger(), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if err := f.Start(nil, Host{}); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(c, standin.DiscardLogger(), nil); err == nil {
		t.Fatal("two processes could bind the same address")
	}
	<-f.Joined()
	s, err := net.Dial("udp", "127.0.0.1:17999")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	plain := &keyring{}
	for _, b := range [][]byte{[]byte("module's"), {0xF9, 1}, newKeyring(t, newKey()).seal([]byte("x")),
		{0xF1, 2}, plain.seal([]byte("no message of ours")), make([]byte, 300)} {
		_, _ = s.Write(b)
	}
	for _, why := range []string{"foreign", "version", "key", "cut", "malformed", "long"} {
		standin.WaitFor(t, why, func() bool { return f.Status().Stats.Dropped[why] == 1 })
	}
	if st := f.Status(); st.Alive != 1 || len(st.Members) != 1 || st.Incarnation != 1 {
		t.Fatalf("%+v", st)
	}
}

// Valid and invalid [[limit]] tables, with the error reported for each invalid one.
func TestLimitSettings(t *testing.T) {
	const head = "[fleet]\nname = \"a\"\nzone = \"z\"\nlisten = \"127.0.0.1:7946\"\n" +
		"roster = [\"a\", \"b\", \"c\"]\n[[limit]]\nname = \"l\"\n"
	for text, want := range map[string]string{
		"class = \"c\"\nrate = 9\nburst = 3":                        "",
		"tenant = \"*\"\nrate = 9\nburst = 3":                       "",
		"server = \"n\"\nconcurrent = 3":                            "",
		"class = \"c\"\nrate = 9\nburst = 3\nfloor = 0.2":           "",
		"rate = 9\nburst = 3":                                       "one of class, tenant and server",
		"class = \"c\"\nserver = \"n\"\nrate = 9\nburst = 3":        "one of class, tenant and server",
		"class = \"*\"\nrate = 9\nburst = 3":                        "is for tenants and servers",
		"class = \"c\"\nrate = 9\nburst = 2":                        "limit[1].burst",
		"class = \"c\"\nrate = 9\nburst = 3\nconcurrent = 4":        "limit[1].concurrent: goes without",
		"class = \"c\"\nconcurrent = 2":                             "limit[1].concurrent",
		"class = \"c\"\nconcurrent = 4.5":                           "limit[1].concurrent",
		"tenant = \"*\"\nconcurrent = 4":                            "not for each",
		"class = \"c\"\nrate = 9\nburst = 3\nlongest_ms = 5":        "limit[1].longest_ms",
		"class = \"c\"\nrate = 9\nburst = 3\nfloor = 0.01":          "limit[1].floor",
		"server = \"*\"\nrate = 9\nburst = 3\nfloor = 0.5":          "limit[1].floor",
		"class = \"c\"\nrate = 9\nburst = 3\n[fleet.evidence]\nx=1": "unknown key",
	} {
		c, err := Load(writeFile(t, t.TempDir(), "f.toml", head+text+"\n"))
		switch {
		case want == "" && err != nil, want != "" && (err == nil || !strings.Contains(err.Error(), want)):
			t.Errorf("%q: %v, not %q", text, err, want)
		case err == nil && c.Limits[0].Floor == 0:
			t.Errorf("%q: floor was not set to a default", text)
		}
	}
	const most = "[fleet]\nname = \"a\"\nzone = \"z\"\nlisten = \"127.0.0.1:7946\"\nmost = 3\n[[limit]]\n" +
		"name = \"l\"\nclass = \"c\"\nrate = 9\nburst = 3\nfloor = 0.5\n"
	_, err := Load(writeFile(t, t.TempDir(), "f.toml", most))
	if err == nil || !strings.Contains(err.Error(), "roster") {
		t.Errorf("a floor below 1 without a voting roster: %v", err)
	}
}

// Several limits can apply to one request. If one limit refuses it, the units granted by the others are
// returned.
func TestSeveralLimitsApplyToOneRequest(t *testing.T) {
	c, err := Load(writeFile(t, t.TempDir(), "f.toml", `[fleet]
name = "a"
zone = "z"
listen = "127.0.0.1:17946"
most = 1
[[limit]]
name = "posts"
class = "post"
concurrent = 3
[[limit]]
name = "tenants"
tenant = "*"
rate = 0.001
burst = 2
[[limit]]
name = "node"
server = "n0"
concurrent = 1
`))
	if err != nil {
		t.Fatal(err)
	}
	f, err := Open(c, slog.New(slog.NewTextHandler(io.Discard, nil)), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	f.startLimits(&Handover{}) // with a handover there is no wait for loans of a predecessor
	ends := time.Now().Add(time.Second)
	var tickets []Ticket
	for i := range 4 {
		ticket, ok, after, limit := f.AllowRequest("post", "t", ends)
		if ok != (i < 2) || !ok && (limit != "tenants" || after <= 0) {
			t.Fatalf("%d: %v by %q, after %v", i, ok, limit, after)
		}
		tickets = append(tickets, ticket)
	}
	last, ok, _, _ := f.AllowRequest("post", "", ends)
	if !ok {
		t.Fatal("units of refused requests were not returned")
	}
	if _, ok, _, limit := f.AllowRequest("post", "u", ends); ok || limit != "posts" {
		t.Fatalf("a fourth concurrent request: %v, refused by %q", ok, limit)
	}
	f.ReleaseTicket(last)
	if _, ok, _, _ := f.AllowRequest("post", "u", ends); !ok {
		t.Fatal("a finished request still holds its slot")
	}
	if _, ok, _, _ := f.AllowRequest("other", "v", ends); !ok {
		t.Fatal("a limit applies to another class")
	}
	one, ok := f.AllowAttempt(ServerID("n0"), ends)
	if _, again := f.AllowAttempt(ServerID("n0"), ends); !ok || again {
		t.Fatal("n0 does not have exactly one slot")
	}
	if _, ok := f.AllowAttempt(ServerID("n1"), ends); !ok {
		t.Fatal("the limit applies to another node")
	}
	f.ReleaseTicket(one)
	if _, ok := f.AllowAttempt(ServerID("n0"), ends); !ok {
		t.Fatal("a finished attempt still holds its slot")
	}
	for _, x := range tickets {
		f.ReleaseTicket(x)
	}
}
