package settings

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

type sample struct {
	Main struct {
		Name   string        `key:"name" required:"true"`
		Wait   time.Duration `key:"wait" default:"2s" min:"1s" max:"1m"`
		Body   Size          `key:"body" default:"1MiB"`
		Listen Address       `key:"listen" default:"127.0.0.1:1"`
		Peers  []Address     `key:"peers"`
		Policy string        `key:"policy" default:"a" allowed:"a|b"`
		Strict bool          `key:"strict" default:"false"`
		Count  int           `key:"count" default:"3" min:"1"`
		Net    netip.Prefix  `key:"net" default:"10.0.0.0/8"`
	} `section:"main"`
	Part map[string]struct {
		Size int `key:"size" required:"true"`
	} `section:"part *"`
}

func load(t *testing.T, text string) (sample, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "s.ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var s sample
	err := Load(file, &s)
	return s, err
}

func TestLoadDefaults(t *testing.T) {
	is := is.New(t)
	s, err := load(t, "[main]\nname = x\npeers = 127.0.0.1:2, [::1]:3\n")
	is.NoErr(err)
	is.Equal(len(s.Part), 0)
	is.Equal(s.Main.Wait, 2*time.Second)
	is.Equal(s.Main.Body, Size(1<<20))
	is.Equal(s.Main.Peers, []Address{"127.0.0.1:2", "[::1]:3"})
}

func TestLoadSectionMap(t *testing.T) {
	is := is.New(t)
	s, err := load(t, "[main]\nname = x\n[part a]\nsize = 1\n[part b c]\nsize = 2\n")
	is.NoErr(err)
	is.Equal(len(s.Part), 2)
	is.Equal(s.Part["a"].Size, 1)
	is.Equal(s.Part["b c"].Size, 2)
}

func TestLoadMistakes(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"missing", "[main]\n", "s.ini: [main] name: missing; allowed: text"},
		{"unknown key", "[main]\nname=x\nnope=1\n", "[main] nope: unknown key; allowed: name, wait"},
		{"unknown section", "[main]\nname=x\n[other]\n", "[other]: unknown section; allowed: [main], [part *]"},
		{"no unit", "[main]\nname=x\nwait=5\n", `[main] wait: "5" is not a duration with a unit`},
		{"too long", "[main]\nname=x\nwait=5m\n", `[main] wait: "5m" is too large`},
		{"size unit", "[main]\nname=x\nbody=5MB\n", `[main] body: "5MB" is not a size`},
		{"host name", "[main]\nname=x\nlisten=localhost:1\n", "is not an IP number with a port"},
		{"choice", "[main]\nname=x\npolicy=c\n", `[main] policy: "c" is not allowed; allowed: a, b`},
		{"empty choice", "[main]\nname=x\npolicy=\n", "[main] policy: is empty; allowed: a, b"},
		{"bool", "[main]\nname=x\nstrict=yes\n", "is neither true nor false"},
		{"twice", "[main]\nname=x\nname=y\n", "[main] name: given more than once"},
		{"range", "[main]\nname=x\ncount=0\n", `[main] count: "0" is too small; allowed: a whole number, at least 1`},
		{"own text form", "[main]\nname=x\nnet=7\n", `[main] net: "7" netip`},
		{"family", "[main]\nname=x\n[part a]\nsize=1\n[part b]\n", "[part b] size: missing"},
		{"outside", "name=x\n[main]\nname=x\n", "key outside any section"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := load(t, c.text)
			is.True(err != nil)
			if !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got %q, want %q in it", err, c.want)
			}
		})
	}
}
