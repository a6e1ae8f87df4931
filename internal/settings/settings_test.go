package settings

import (
	"strings"
	"testing"
)

func TestErrorsNameLineAndKey(t *testing.T) {
	type table struct {
		Name string `toml:"name"`
		Size int    `toml:"size"`
		Sub  struct {
			Deep int `toml:"deep"`
		} `toml:"sub"`
	}
	for name, c := range map[string]struct {
		text string
		want string
	}{
		"sound":   {"a = 1\n[[server]]\nname = \"x\"\nsize = 1\n", ""},
		"unknown": {"a = 1\nb = 2\n", "f:2: unknown key b"},
		"unknown twice": {"[[server]]\nnam = 1\n[[server]]\nnam = 2\n",
			"f:2: unknown key server.nam\nf:4: unknown key server.nam"},
		"value": {"# one\n[[server]]\nsize = 1\n\n[[server]]\n# [x]\nsize = -1",
			"f:7: server[2].size: -1 is under 0"},
		"deep": {"[[server]]\n[[server]]\n[server.sub]\ndeep = -3",
			"f:4: server[2].sub.deep: -3 is under 0"},
		"absent": {"a = 1\n[[server]]\nsize = 1\nname = \"\"\"\nsize = 4\n[x]\"\"\"\n[[server]]",
			"f:7: server[2].name: is missing"},
		"list":       {"l = [\n \"size = 3\", # [\n]\na = -1", "f:4: a: -1 is under 0"},
		"free table": {"[any]\nx = 1\n[any.deep]\ny = 2\n[any.deep.er]\nz = 3", ""},
		"not TOML":   {"a = 1\nb =\n", "f:2: b: expected value"},
		"type":       {"a = \"x\"", "f"},
	} {
		var v struct {
			A int      `toml:"a"`
			L []string `toml:"l"`

			Any     map[string]any `toml:"any"`
			Servers []table        `toml:"server"`
		}
		f, err := Parse("f", c.text, &v)
		if err == nil {
			f.Require(v.A >= 0, "a", "%d is under 0", v.A)
			for i, s := range v.Servers {
				at := "server[" + string(rune('1'+i)) + "]"
				f.Require(s.Size >= 0, at+".size", "%d is under 0", s.Size)
				f.Require(s.Sub.Deep >= 0, at+".sub.deep", "%d is under 0", s.Sub.Deep)
				if name == "absent" {
					f.Require(s.Name != "", at+".name", "is missing")
				}
			}
			err = f.Err()
		}
		got := ""
		if err != nil {
			got = err.Error()
		}
		if got == "" != (c.want == "") || !strings.HasPrefix(got, c.want) {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}
