package platform

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"lapislever/balance"
	"lapislever/internal/standin"
)

// addedClass is an edit of the settings that adds a class.
var addedClass = []string{`"lanes":[`,
	`"lanes":[{"name":"fresh","goalTimeUs":1000000,"hardLimitUs":2000000,` +
		`"idempotency":"idempotency_key","windowUs":3000000,"worth":2,"lateWorth":0},`}

// A file that lacks a key of the running one, has it in another form, or contains impossible numbers, is
// rejected as a whole. Parse alone would fill gaps from the environment and from defaults.
func TestInvalidFilesAreRejected(t *testing.T) {
	d := &discovery{addr: "127.0.0.1:1"}
	old := testConfig(t, d)
	old.raw["known"], old.raw["seed"] = map[string]any{"seq": json.Number("1")}, "ab"
	if _, kept, err := testConfig(t, d, addedClass...).reloadOver(old, time.Now()); err != nil ||
		len(kept) != 0 {
		t.Fatalf("a valid file: %v, takes a restart: %v", err, kept)
	}
	whole, err := json.Marshal(old.raw)
	if err != nil {
		t.Fatal(err)
	}
	env := func(string) string { return "127.0.0.1:2" }
	for name, text := range map[string]string{
		"empty":             "",
		"half":              string(whole[:len(whole)/2]),
		"two":               string(whole) + "{}",
		"no object":         "[]",
		"no settings":       `{"name":"n0","listen":"a:1","discovery":"b:1"}`,
		"no discovery":      strings.Replace(string(whole), `"discovery":`, `"x":`, 1),
		"no limits":         strings.Replace(string(whole), `"limits":`, `"x":`, 1),
		"no memory_mb":      strings.Replace(string(whole), `"memory_mb":`, `"x":`, 1),
		"no sendCap":        strings.Replace(string(whole), `"sendCap":`, `"x":`, 1),
		"no dialTimeoutUs":  strings.Replace(string(whole), `"dialTimeoutUs":`, `"x":`, 1),
		"no worth":          strings.Replace(string(whole), `"worth":`, `"x":`, 1),
		"no classes":        strings.Replace(string(whole), `"lanes":[`, `"lanes":[],"x":[`, 1),
		"attempts 0":        strings.Replace(string(whole), `"sendCap":4`, `"sendCap":0`, 1),
		"attempts -3":       strings.Replace(string(whole), `"sendCap":4`, `"sendCap":-3`, 1),
		"attempts a text":   strings.Replace(string(whole), `"sendCap":4`, `"sendCap":"4"`, 1),
		"attempts null":     strings.Replace(string(whole), `"sendCap":4`, `"sendCap":null`, 1),
		"deadline 0":        strings.Replace(string(whole), `"hardLimitUs":4000000`, `"hardLimitUs":0`, 1),
		"deadline -1":       strings.Replace(string(whole), `"hardLimitUs":4000000`, `"hardLimitUs":-1`, 1),
		"deadline a text":   strings.Replace(string(whole), `"hardLimitUs":4000000`, `"hardLimitUs":"soon"`, 1),
		"deadline endless":  strings.Replace(string(whole), `"hardLimitUs":4000000`, `"hardLimitUs":1e300`, 1),
		"a class twice":     strings.Replace(string(whole), `"exchange-post"`, `"rate-check"`, 1),
		"an unknown effect": strings.Replace(string(whole), `"read_like"`, `"odd"`, 1),
	} {
		if text == string(whole) {
			t.Errorf("%s: the edit changed nothing", name)
		}
		c, err := Parse([]byte(text), env)
		if err == nil {
			_, _, err = c.reloadOver(old, time.Now())
		}
		if err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// Just after a change a request may follow the old rules or the new ones. Where its key does not tell, the
// stricter of both apply; later only the new ones do.
func TestBothRulesBindAfterAChange(t *testing.T) {
	d := &discovery{addr: "127.0.0.1:1"}
	const safe, keyed, unsafe = `"read_like"`, `"idempotency_key","windowUs":2000000`, `"non_idempotent"`
	now := time.Now()
	for _, c := range []struct {
		old, new string
		key      bool
		want     balance.Effect
		sent     bool // the key is sent with the parts
	}{
		{safe, keyed, false, balance.Safe, false},
		{safe, keyed, true, balance.Keyed, true},
		{keyed, safe, true, balance.Keyed, true},
		{keyed, safe, false, balance.Safe, false},
		{safe, unsafe, false, balance.Unsafe, false},
		{unsafe, safe, false, balance.Unsafe, false},
		{keyed, unsafe, true, balance.Unsafe, true},
		{safe, safe, false, balance.Safe, false},
	} {
		old := testConfig(t, d, `"read_like"`, c.old)
		fresh, _, err := testConfig(t, d, `"read_like"`, c.new, `"sendCap":4`, `"sendCap":2`).reloadOver(old, now)
		if err != nil {
			t.Fatal(err)
		}
		rules := fresh.rulesFor(0, c.key, now)
		if rules.class.Effect != c.want || rules.sendKey != c.sent || rules.maxAttempts != 2 {
			t.Errorf("%s to %s, key %v: %+v", c.old, c.new, c.key, rules)
		}
		if rules.class.Effect == balance.Keyed && rules.class.Window != 2000000 {
			t.Errorf("%s to %s: the window is %d us", c.old, c.new, rules.class.Window)
		}
		later := fresh.rulesFor(0, c.key, now.Add(settingsOverlap))
		want := fresh.Module.Classes[0].Effect
		if later.class.Effect != want || later.sendKey != (want == balance.Keyed) {
			t.Errorf("%s to %s, later: %+v", c.old, c.new, later)
		}
	}
}

// New settings apply to new requests: a class is added and removed, the number of attempts changes. Open
// requests keep their class, and an invalid file changes nothing. Both kinds of reload are counted.
func TestReloadChangesTheSettings(t *testing.T) {
	release := make(chan struct{})
	slow := standin.NewNode(t, func(p standin.Part) (string, string) { <-release; return answerAll(p) })
	n := standin.NewNode(t, answerAll)
	d := newDiscovery(t, hostAt("a", slow.Addr, 0), hostAt("b", n.Addr, 1))
	k := startReady(t, adminConfig(t, d))
	if r := post(t, k, "fresh", 1); r.Status != 404 {
		t.Fatalf("a class that does not exist yet: %d", r.Status)
	}
	status := make(chan int, 1)
	go func() { status <- post(t, k, "rate-check", 0).Status }()
	standin.WaitFor(t, "the part", func() bool { return len(slow.Parts()) > 0 })
	if err := k.Reload(adminConfig(t, d, addedClass...)); err != nil {
		t.Fatal(err)
	}
	if r := post(t, k, "fresh", 1); r.Status != 200 || !strings.Contains(n.Parts()[0].Attrs, ",k=") {
		t.Fatalf("the new class got %d, its part %+v", r.Status, n.Parts()[0])
	}
	// removes rate-check and fresh
	if err := k.Reload(adminConfig(t, d, `"name":"rate-check"`, `"name":"other"`)); err != nil {
		t.Fatal(err)
	}
	close(release)
	if got := <-status; got != 200 {
		t.Errorf("the request whose class was removed got %d", got)
	}
	standin.WaitFor(t, "the end of the removed class", func() bool {
		return post(t, k, "rate-check", 1).Status == 404
	})
	for _, class := range []string{"other", "exchange-post"} {
		if r := post(t, k, class, 1); r.Status != 200 {
			t.Errorf("%s: %d", class, r.Status)
		}
	}
	broken := adminConfig(t, d)
	delete(broken.raw, "limits")
	err := k.Reload(broken)
	if err == nil {
		t.Fatal("accepted")
	}
	k.RejectConfig(err)
	if r := post(t, k, "other", 1); r.Status != 200 {
		t.Errorf("after an invalid file: %d", r.Status)
	}
	f := counters(t, k)
	if f.ConfigApplied != 2 || f.ConfigRejected != 1 || f.OK["fresh"] != 1 || f.OK["rate-check"] < 1 {
		t.Fatalf("%+v", f)
	}
}
