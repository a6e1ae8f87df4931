package platform

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"lapislever/balance"
	"lapislever/internal/standin"
)

// added is a further class for the settings, as an edit of theirs.
var added = []string{`"lanes":[`, `"lanes":[{"name":"fresh","goalTimeUs":1000000,"hardLimitUs":2000000,` +
	`"idempotency":"idempotency_key","windowUs":3000000,"worth":2,"lateWorth":0},`}

// A file that lacks a key of the running one, or has it in another form, or whose numbers cannot be, is
// turned down whole. Parse alone would fill the gaps from the environment and from defaults.
func TestBrokenFilesAreTurnedDown(t *testing.T) {
	d := &discovery{addr: "127.0.0.1:1"}
	old := config(t, d)
	old.raw["known"], old.raw["seed"] = map[string]any{"seq": json.Number("1")}, "ab"
	if _, kept, err := config(t, d, added...).after(old, time.Now()); err != nil || len(kept) != 0 {
		t.Fatalf("a sound file: %v, takes a restart: %v", err, kept)
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
			t.Errorf("%s: the edit met nothing", name)
		}
		c, err := Parse([]byte(text), env)
		if err == nil {
			_, _, err = c.after(old, time.Now())
		}
		if err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}

// Just after a change a request may come by the old rules or by the new ones. What its key does not tell is
// held to the stricter of both; later the new ones alone bind.
func TestBothRulesBindAfterAChange(t *testing.T) {
	d := &discovery{addr: "127.0.0.1:1"}
	const safe, keyed, unsafe = `"read_like"`, `"idempotency_key","windowUs":2000000`, `"non_idempotent"`
	now := time.Now()
	for _, c := range []struct {
		old, new string
		key      bool
		want     balance.Effect
		sent     bool // the key goes along
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
		old := config(t, d, `"read_like"`, c.old)
		fresh, _, err := config(t, d, `"read_like"`, c.new, `"sendCap":4`, `"sendCap":2`).after(old, now)
		if err != nil {
			t.Fatal(err)
		}
		b := fresh.bind(0, c.key, now)
		if b.rules.Effect != c.want || b.key != c.sent || b.most != 2 {
			t.Errorf("%s to %s, key %v: %+v", c.old, c.new, c.key, b)
		}
		if b.rules.Effect == balance.Keyed && b.rules.Window != 2000000 {
			t.Errorf("%s to %s: repeats are dropped for %d us", c.old, c.new, b.rules.Window)
		}
		later := fresh.bind(0, c.key, now.Add(bothBind))
		want := fresh.Module.Classes[0].Effect
		if later.rules.Effect != want || later.key != (want == balance.Keyed) {
			t.Errorf("%s to %s, later: %+v", c.old, c.new, later)
		}
	}
}

// New settings bind new requests: a class comes and goes, attempts change. What is open keeps its class, and
// a broken file changes nothing; both are counted.
func TestReloadChangesTheSettings(t *testing.T) {
	free := make(chan struct{})
	slow := standin.NewNode(t, func(p standin.Part) (string, string) { <-free; return ok(p) })
	n := standin.NewNode(t, ok)
	d := newDiscovery(t, hostAt("a", slow.Addr, 0), hostAt("b", n.Addr, 1))
	k := run(t, door(t, d))
	if r := post(t, k, "fresh", 1); r.Status != 404 {
		t.Fatalf("a class that is not there yet: %d", r.Status)
	}
	held := make(chan int, 1)
	go func() { held <- post(t, k, "rate-check", 0).Status }()
	standin.WaitFor(t, "the part", func() bool { return len(slow.Parts()) > 0 })
	if err := k.Reload(door(t, d, added...)); err != nil {
		t.Fatal(err)
	}
	if r := post(t, k, "fresh", 1); r.Status != 200 || !strings.Contains(n.Parts()[0].Attrs, ",k=") {
		t.Fatalf("the new class got %d, its part %+v", r.Status, n.Parts()[0])
	}
	// rate-check and fresh go
	if err := k.Reload(door(t, d, `"name":"rate-check"`, `"name":"other"`)); err != nil {
		t.Fatal(err)
	}
	close(free)
	if got := <-held; got != 200 {
		t.Errorf("what was open when its class went got %d", got)
	}
	standin.WaitFor(t, "the end of the class that went", func() bool {
		return post(t, k, "rate-check", 1).Status == 404
	})
	for _, class := range []string{"other", "exchange-post"} {
		if r := post(t, k, class, 1); r.Status != 200 {
			t.Errorf("%s: %d", class, r.Status)
		}
	}
	broken := door(t, d)
	delete(broken.raw, "limits")
	err := k.Reload(broken)
	if err == nil {
		t.Fatal("taken")
	}
	k.Reject(err)
	if r := post(t, k, "other", 1); r.Status != 200 {
		t.Errorf("after a broken file: %d", r.Status)
	}
	f := figures(t, k)
	if f.ConfigApplied != 2 || f.ConfigRejected != 1 || f.OK["fresh"] != 1 || f.OK["rate-check"] < 1 {
		t.Fatalf("%+v", f)
	}
}
