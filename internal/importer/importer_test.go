package importer

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"lapislever/internal/legacyfront"
	"lapislever/internal/promql"
)

// importSummary imports a text and returns one line per server and one per remark.
func importSummary(t *testing.T, text string) string {
	t.Helper()
	res, err := Import(text, Options{TargetPromQL, "127.0.0.1:9090", "day-report"})
	if err != nil {
		t.Fatal(err)
	}
	c, err := promql.ParseConfig(res.File)
	if err != nil {
		t.Fatalf("serve rejects the generated file: %v\n%s", err, res.File)
	}
	var b strings.Builder
	for _, s := range c.Servers {
		fmt.Fprintf(&b, "%s %s cell %d share %g\n", s.Name, s.Address, s.Cell, *s.Share)
	}
	for _, r := range res.Remarks {
		fmt.Fprintf(&b, "%d: %s\n", r.Line, r.Text)
	}
	return b.String()
}

func checkImport(t *testing.T, text, want string) {
	t.Helper()
	if got := importSummary(t, text); got != strings.TrimLeft(want, "\n") {
		t.Errorf("got\n%s\nwant%s", got, want)
	}
}

func TestModJKWorkers(t *testing.T) {
	checkImport(t, `# two balancers, a template
hosts=127.0.0
worker.list=lb1, lb2
worker.list=jkstatus
worker.template.type=ajp13
worker.template.lbfactor=2
worker.template.socket_timeout=10
worker.a.reference=worker.template
worker.a.host=$(hosts).1
worker.a.port=9101
worker.b.reference=worker.template
worker.b.host=$(hosts).2
worker.b.lbfactor=0.5
worker.b.route=route-b
worker.c.type=ajp13
worker.c.port=9103
worker.c.activation=Disabled
worker.d.type=ajp14
worker.d.host=127.0.0.4
worker.lb1.type=lb
worker.lb1.balance_workers=a
worker.lb1.balance_workers=b,c
worker.lb1.sticky_session=1
worker.lb2.type=lb
worker.lb2.balance_workers=d a
worker.jkstatus.type=status
worker.maintain=60
worker.a.port=9111
`, `
a 127.0.0.1:9111 cell 0 share 2
route-b 127.0.0.2:8009 cell 0 share 0.5
d 127.0.0.4:8011 cell 1 share 1
5: worker a speaks ajp13: its address is taken, and has to answer HTTP
5: worker b speaks ajp13: its address is taken, and has to answer HTTP
5: worker a speaks ajp13: its address is taken, and has to answer HTTP
8: a is left out of cell 1: line 8 has a server of that name already
15: worker c speaks ajp13: its address is taken, and has to answer HTTP
17: worker c is not active (Disabled), and left out
18: worker d speaks ajp14: its address is taken, and has to answer HTTP
23: worker.lb1.sticky_session has no counterpart
26: worker jkstatus of type "status" is no member of a balancer, and left out
27: worker.maintain has no counterpart
28: worker.a.port replaces line 10
`)
}

func TestApacheBalancers(t *testing.T) {
	checkImport(t, `# a proxy
ProxyPass "/q" "balancer://one" stickysession=J
<Proxy "balancer://One">
  BalancerMember "http://127.0.0.1:9101" route=n1 loadfactor=2.5
  BalancerMember http://127.0.0.2/prom/ \
     loadfactor=1 retry=5
  BalancerMember http://127.0.0.3:9103 status=+D
  BalancerMember https://127.0.0.4:9104
  ProxySet lbmethod=byrequests
</Proxy>
BalancerMember balancer://two/ ajp://127.0.0.5 status=-D+I
<Proxy *>
  Require all granted
</Proxy>
`, `
n1 127.0.0.1:9101 cell 0 share 2.5
127.0.0.2 http://127.0.0.2:80/prom cell 0 share 1
127.0.0.5 127.0.0.5:8009 cell 1 share 1
2: ProxyPass has no counterpart
5: retry has no counterpart
7: http://127.0.0.3:9103 has status +D, and is left out
8: https://127.0.0.4:9104: only plain HTTP is spoken, and is left out
9: ProxySet has no counterpart
11: ajp://127.0.0.5 speaks ajp: its address is taken, and has to answer HTTP
11: status I has no counterpart
12: <Proxy *> is no balancer, and left out
13: Require has no counterpart
`)
}

// Any input gives either an error or a file that serve accepts.
func FuzzImport(f *testing.F) {
	f.Add("worker.list=l\nworker.l.type=lb\nworker.l.balance_workers=a\nworker.a.port=$(x)1\n")
	f.Add("<Proxy balancer://x>\nBalancerMember \"http://a:1/p\" route=b loadfactor=2 \\\n status=-D\n</Proxy>")
	f.Fuzz(func(t *testing.T, text string) {
		if res, err := Import(text, Options{TargetPromQL, "127.0.0.1:1", "c"}); err == nil {
			if c, err := promql.ParseConfig(res.File); err != nil || len(c.Servers) == 0 {
				t.Fatalf("%v\n%s", err, res.File)
			}
		}
	})
}

func TestMalformedInputIsAnError(t *testing.T) {
	const lb = "worker.list=l\nworker.l.type=lb\nworker.l.balance_workers=a\n"
	const open = "<Proxy balancer://x>\n"
	for text, want := range map[string]string{
		"":                                   "no worker of type lb",
		"worker.a.type=ajp13\n":              "no worker of type lb",
		"just words\n":                       "line 1",
		"worker..host=x\n":                   "line 1",
		lb:                                   "worker a is not defined",
		lb + "worker.a.port=0\n":             "line 4",
		lb + "worker.a.lbfactor=-1\n":        "line 4",
		lb + "worker.a.activation=X\n":       "line 4",
		lb + "worker.a.activation=S\n":       "no member in use",
		lb + "worker.a.type=lb\n":            "line 4",
		lb + "worker.a.host=$(no)\n":         "line 4",
		lb + "worker.a.host=$(no\n":          "line 4",
		lb + "worker.a.reference=worker.z\n": "line 4",
		lb + "worker.a.reference=worker.b\nworker.b.reference=worker.a\n":  "circle",
		"worker.list=l\nworker.l.type=lb\n":                                "balance_workers",
		open + "BalancerMember http://a:1\n":                               "no end",
		"</Proxy>\n" + open:                                                "line 1",
		open + open:                                                        "line 2",
		"BalancerMember http://a:1\n":                                      "no balancer",
		open + "BalancerMember balancer://y http://a:1\n</Proxy>\n":        "line 2",
		open + "BalancerMember nowhere\n</Proxy>\n":                        "line 2",
		open + "BalancerMember http://a:1 loadfactor=0\n</Proxy>\n":        "line 2",
		open + "BalancerMember http://a:1 status=Z\n</Proxy>\n":            "line 2",
		open + "BalancerMember http://a:1 route\n</Proxy>\n":               "line 2",
		open + "BalancerMember \"http://a:1\n</Proxy>\n":                   "line 2",
		open + "BalancerMember http://a:1 status=D\n</Proxy>\n":            "no member in use",
		"<Proxy balancer://x\nBalancerMember http://a:1\n</Proxy>\n":       "line 1",
		open + "BalancerMember\n</Proxy>\nBalancerMember balancer://x\n":   "line 2",
		open + "BalancerMember http://a:1 route=\"\"\n</Proxy>\n":          "line 2",
		"<Proxy a b>\n</Proxy>\nBalancerMember balancer://x http://a:1\n ": "line 1",
	} {
		_, err := Import(text, Options{TargetPromQL, "127.0.0.1:9090", "day-report"})
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}

// mod_jk workers become nodes of the new form. The AJP secret and packet size are taken over.
func TestModJKWorkersForTranslation(t *testing.T) {
	const text = `worker.list=ledger
worker.ledger.type=lb
worker.ledger.balance_workers=a,b,c
worker.base.type=ajp13
worker.base.port=8009
worker.base.secret=s3cret
worker.base.max_packet_size=16384
worker.a.reference=worker.base
worker.a.host=10.0.0.1
worker.b.reference=worker.base
worker.b.host=10.0.0.2
worker.b.activation=D
worker.c.reference=worker.base
worker.c.host=10.0.0.3
worker.c.secret=other
worker.c.socket_timeout=3
`
	res, err := Import(text, Options{Target: TargetTranslate, Listen: "127.0.0.1:8009", Class: "posts"})
	if err != nil {
		t.Fatal(err)
	}
	c, err := legacyfront.ParseConfig("f", res.File)
	if err != nil {
		t.Fatal(err)
	}
	if c.AJP.Listen != "127.0.0.1:8009" || c.AJP.Secret != "s3cret" || c.AJP.Packet != 16384 ||
		len(c.Servers) != 3 || len(c.Classes) != 1 || c.Classes[0].Name != "posts" ||
		c.Classes[0].Effect != "unsafe" {
		t.Fatalf("%+v", c)
	}
	for i, s := range c.Servers {
		if s.Form != legacyfront.NewForm || s.Draining != (i == 1) ||
			s.Address != fmt.Sprintf("10.0.0.%d:8009", i+1) {
			t.Errorf("%+v", s)
		}
	}
	var lines []int
	for _, r := range res.Remarks {
		lines = append(lines, r.Line)
	}
	if want := []int{4, 4, 4, 15, 16}; !slices.Equal(lines, want) {
		t.Errorf("remarks on lines %v, want %v: %+v", lines, want, res.Remarks)
	}
	for _, target := range []string{TargetPromQL, TargetTranslate} {
		if _, err := Import(text, Options{Target: target, Listen: "127.0.0.1:8009"}); err == nil {
			t.Errorf("%s: imported without a class", target)
		}
	}
	if _, err := Import(text, Options{Target: "x", Class: "posts"}); err == nil {
		t.Error("an unknown target was accepted")
	}
}
