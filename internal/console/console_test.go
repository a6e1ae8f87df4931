package console

import (
	"bytes"
	"errors"
	"net/url"
	"os"
	"strings"
	"testing"
	"time"

	"lapislever/internal/standin"
)

const fleetReply = `{"self":"a1","incarnation":3,"digest":"00ff","alive":2,"members":[
 {"name":"a1","zone":"praha","addr":"127.0.0.1:7946","state":"alive","incarnation":3,"since_ms":90000},
 {"name":"b1","zone":"brno","addr":"127.0.0.2:7946","state":"dead","incarnation":1,"since_ms":1500}],
 "figures":{"health":1,"crash_known_within_ms":2800,"settled_within_ms":4000,"settings_differ":["b1"],
 "conflict":"127.0.0.9:7946"}}`

func TestMembers(t *testing.T) {
	endpoint := standin.NewHTTPServer(t, func(path string, _ url.Values) (int, string) {
		if path != "/admin/fleet" {
			return 404, "no such call"
		}
		return 200, fleetReply
	})
	var out bytes.Buffer
	if err := (FleetCommand{Addr: endpoint.Addr}).Run([]string{"members"}, &out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"a1, incarnation 3: 2 of 2 alive, digest 00ff, health 1",
		"a1    praha  alive  1m30s", "b1    brno   dead   1.5s   1            127.0.0.2:7946", "within 2.8s",
		"at: [b1]",
		"THIS NAME: 127.0.0.9:7946"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is not in\n%s", want, out.String())
		}
	}
	out.Reset()
	if err := (FleetCommand{Addr: endpoint.Addr, JSON: true}).Run([]string{"members"}, &out); err != nil ||
		strings.TrimSpace(out.String()) != fleetReply {
		t.Fatalf("%v %s", err, out.String())
	}
	out.Reset()
	stop := make(chan os.Signal, 1)
	time.AfterFunc(watchInterval*3/2, func() { stop <- os.Interrupt })
	if err := (FleetCommand{Addr: endpoint.Addr, Watch: true, Stop: stop}).Run([]string{"members"},
		&out); err != nil ||
		strings.Count(out.String(), "NAME ") != 2 {
		t.Fatalf("%v %s", err, out.String())
	}
}

func TestErrorStatusIsAnError(t *testing.T) {
	endpoint := standin.NewHTTPServer(t, func(string, url.Values) (int, string) { return 404, "no such call\n" })
	var statusErr *StatusError
	err := FleetCommand{Addr: endpoint.Addr}.Run([]string{"members"}, &bytes.Buffer{})
	if !errors.As(err, &statusErr) || statusErr.Status != 404 || statusErr.Text != "no such call" {
		t.Fatalf("%v", err)
	}
	for _, args := range [][]string{nil, {"dance"}, {"members", "again"}} {
		if err := (FleetCommand{Addr: endpoint.Addr}).Run(args, &bytes.Buffer{}); !errors.Is(err, ErrUsage) {
			t.Errorf("%q: %v", args, err)
		}
	}
}

func TestOverload(t *testing.T) {
	endpoint := standin.NewHTTPServer(t, func(path string, _ url.Values) (int, string) {
		if path != "/admin/overload" {
			return 404, "no such call"
		}
		return 200, `{"level":52,"heard_ms":100,"shed":{"rate-check":70,"rate-check/t1":30},
		 "retries":{"spent":12,"allowed":40,"denied":5},"duties":[{"what":"level","owner":"b1","since_ms":61000}]}`
	})
	var out bytes.Buffer
	if err := (FleetCommand{Addr: endpoint.Addr}).Run([]string{"overload"}, &out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"level 52 of 64, heard 100ms ago: all below is turned away",
		"rate-check      70",
		"rate-check/t1   30", "12", "40; turned down: 5", "level       b1", "for 1m1s"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is not in\n%s", want, out.String())
		}
	}
}
