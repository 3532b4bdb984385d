package declaration

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

const digestA = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

// valid is a small set of valid declarations. Each case of TestMistakes changes a part.
const valid = `[model m]
version = 1
weights = m/1
weight-size = 10 GiB
max-tokens = 400 ktokens
replicas = a:1
floor = 1
[adapter m/x]
version = 2
weights = m/x-2
[service s]
repeatable-methods = GET, PUT
[workspace w]
key-digests = ` + digestA + `
request-rate = 50/s
models = m
services = s
[host h]
data-centre = a
[endpoint e]
host = h
data-centre = a
agent = 10.0.0.1:7200
memory = 450 ktokens
checks = fencing
`

func TestMistakes(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"no unit of size", "10 GiB", "10", `d.ini:4: [model m] weight-size: "10" has no known unit; allowed: a whole number with a unit of TiB, GiB, MiB, KiB, B`},
		{"decimal unit", "10 GiB", "10 GB", `weight-size: "10 GB" is not a quantity`},
		{"no unit of tokens", "400 ktokens", "400", `d.ini:5: [model m] max-tokens: "400" has no known unit`},
		{"too large", "10 GiB", "99999999 TiB", `weight-size: "99999999 TiB" is not a quantity`},
		{"rate without time", "50/s", "50", `d.ini:15: [workspace w] request-rate: "50" has no known unit; allowed: a number per second or minute`},
		{"rate zero", "50/s", "0/s", `request-rate: "0/s" is not a quantity`},
		{"rate not a number", "50/s", "NaN/s", `request-rate: "NaN/s" is not a quantity`},
		{"missing", "version = 1\n", "", "d.ini:1: [model m] version: is missing"},
		{"empty", "version = 1", "version =", "d.ini:2: [model m] version: is empty"},
		{"unknown key", "floor = 1", "floor = 1\nflour = 2", "d.ini:8: [model m] flour: is not a key of this section; allowed: version, weights, weight-size, max-tokens, replicas, floor"},
		{"key twice", "floor = 1", "floor = 1\nfloor = 1", "d.ini:8: [model m] floor: is given more than once"},
		{"unknown kind", "[service s]", "[servce s]", "d.ini:11: [servce s] is not a known kind of section; allowed: [model NAME]"},
		{"section twice", "[service s]", "[service s]\n[service s]", "d.ini:12: [service s] is declared more than once; first at d.ini:11"},
		{"bad name", "[service s]", "[service S]", `[service S] "S" is not a name`},
		{"no name", "[service s]", "[service]", `[service] "" is not a name`},
		{"header without closing bracket", "[service s]", "[service s", "d.ini:11: [service s] is not a section header; allowed: [KIND NAME]"},
		{"no key", "floor = 1", "floor = 1\nfloor", "d.ini:8: [model m] is neither a section header, a key nor a comment"},
		{"outside", "[model m]", "stray = 1\n[model m]", "d.ini:1: stray: is outside any section"},
		{"quoted", "weights = m/1", `weights = "m/1"`, "d.ini:3: [model m] weights: is quoted"},
		{"weights", "weights = m/1", `weights = m 1`, `weights: "m 1" is not a name in the weight store`},
		{"floor above", "floor = 1", "floor = 2", "d.ini:7: [model m] floor: 2 is above the 1 replicas in a"},
		{"replicas above engines", "a:1", "a:2", "d.ini:6: [model m] replicas: 2 replicas in a exceed the number of engines there; allowed: at most 1"},
		{"prompts beyond the memory of the replicas", "400 ktokens", "451 ktokens", "d.ini:5: [model m] max-tokens: 451 ktokens exceed the total memory of its replicas; allowed: at most 450 ktokens"},
		{"replicas without engines", "a:1", "b:1", "replicas: 1 replicas in b exceed the number of engines there; allowed: at most 0"},
		{"replicas without colon", "a:1", "a=1", `replicas: "a=1" is not a number of replicas in a data centre`},
		{"replicas twice", "a:1", "a:1, a:2", `replicas: names "a" twice`},
		{"undeclared model", "models = m", "models = n", `d.ini:16: [workspace w] models: names the undeclared model "n"; allowed: m`},
		{"undeclared service", "services = s", "services = t", `d.ini:17: [workspace w] services: names the undeclared service "t"; allowed: s`},
		{"undeclared adapter model", "[adapter m/x]", "[adapter n/x]", `d.ini:8: [adapter n/x] belongs to the undeclared model "n"; allowed: m`},
		{"adapter named as its model", "[adapter m/x]", "[adapter m/m]", "d.ini:8: [adapter m/m] has the same name as [model m], and requests name adapters without their model"},
		{"two adapters of one name", "[service s]", "[model n]\nversion = 1\nweights = n\nweight-size = 1 GiB\nmax-tokens = 1 ktokens\nfloor = 0\n[adapter n/x]\nversion = 1\n[service s]", "d.ini:17: [adapter n/x] has the same name as [adapter m/x]"},
		{"nothing to use", "models = m\nservices = s", "", "d.ini:13: [workspace w] models: is missing, and so is services"},
		{"digest", digestA, "AA", `d.ini:14: [workspace w] key-digests: "AA" is not a digest`},
		{"digest upper", digestA, strings.ToUpper(digestA), "is not a digest"},
		{"digest twice", "[host h]", "[workspace v]\nkey-digests = " + digestA + "\nmodels = m\n[host h]", `d.ini:19: [workspace v] key-digests: repeats a digest of workspace "w"`},
		{"list twice", "models = m", "models = m, m", `models: names "m" twice`},
		{"empty list element", "models = m", "models = m,,", "models: has an empty element"},
		{"method", "GET, PUT", "GET, TAKE", `repeatable-methods: "TAKE" is not known; allowed: GET, HEAD`},
		{"undeclared host", "host = h", "host = i", `d.ini:21: [endpoint e] host: names the undeclared host "i"; allowed: h`},
		{"other data centre", "data-centre = a\nagent", "data-centre = b\nagent", `d.ini:22: [endpoint e] data-centre: "b" is not the data centre that host "h" is in; allowed: a`},
		{"agent name", "10.0.0.1:7200", "agent.example:7200", `d.ini:23: [endpoint e] agent: "agent.example:7200" is not an address`},
		{"agent twice", "[endpoint e]", "[endpoint d]\nhost=h\ndata-centre=a\nmemory=1 tokens\nagent=10.0.0.1:7200\n[endpoint e]", `[endpoint e] agent: repeats the address of endpoint "d"`},
		{"engine without memory", "memory = 450 ktokens\n", "", "d.ini:20: [endpoint e] memory: is missing"},
		{"service with memory", "checks = fencing", "service = s", "d.ini:24: [endpoint e] memory: is only for model engines"},
		{"check", "checks = fencing", "checks = fences", `checks: "fences" is not known; allowed: fencing, callers`},
		{"flag", "[endpoint e]", "leaving = yes\n[endpoint e]", `d.ini:20: [host h] leaving: "yes" is not known; allowed: true, false`},
		{"percent", "[host h]", "[placement]\nmoving = 5\n[host h]", `[placement] moving: "5" is not a percentage`},
		{"count", "[host h]", "[placement]\nconcurrent-loads = 0\n[host h]", `concurrent-loads: "0" is out of range or not a whole number; allowed: a whole number from 1`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(valid, c.old, c.new, 1)
			is.True(text != valid) // the replaced part is in the text
			_, err := Parse(File{"d.ini", []byte(text)})
			is.True(err != nil)
			if !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got:\n%v\nwant it to contain:\n%s", err, c.want)
			}
		})
	}
}

func TestAllMistakesAreReported(t *testing.T) {
	is := is.New(t)
	text := strings.NewReplacer("10 GiB", "10", "50/s", "50", "host = h", "host = i").Replace(valid)
	_, err := Parse(File{"d.ini", []byte(text)}, File{"e.ini", []byte("[nope]\n")})
	var ms Mistakes
	is.True(errors.As(err, &ms))
	is.Equal(len(ms), 4)
	is.Equal([]int{ms[0].Line, ms[1].Line, ms[2].Line, ms[3].Line}, []int{4, 15, 21, 1})
	is.Equal(ms[3].File, "e.ini")
}

func TestParse(t *testing.T) {
	is := is.New(t)
	d, err := Parse(File{"d.ini", []byte("\ufeff; comment\r\n" + strings.ReplaceAll(valid, "\n", "\r\n"))})
	is.NoErr(err)
	is.Equal(d.Models[0].WeightBytes, uint64(10<<30))
	is.Equal(d.Models[0].MaxTokens, uint64(400_000))
	is.Equal(d.Models[0].Adapters[0].Name, "x")
	is.Equal(d.Workspaces[0].Priority, uint32(DefaultPriority))
	is.Equal(d.Endpoints[0].ChecksFencing, true)
	is.Equal(d.Endpoints[0].Role, DefaultRole)
	again, err := Parse(File{"r.ini", Render(d)})
	is.NoErr(err)
	is.True(proto.Equal(d, again))
}

func TestExamples(t *testing.T) {
	for _, site := range []string{"bratislava", "cardiff"} {
		t.Run(site, func(t *testing.T) {
			is := is.New(t)
			names, err := filepath.Glob("../examples/" + site + "/*.ini")
			is.NoErr(err)
			var files []File
			for _, n := range names {
				data, err := os.ReadFile(n)
				is.NoErr(err)
				files = append(files, File{n, data})
			}
			d, err := Parse(files...)
			is.NoErr(err)
			is.Equal(len(d.Workspaces), 10)
			is.Equal(len(d.Endpoints), 23)
			again, err := Parse(File{"r.ini", Render(d)})
			is.NoErr(err)
			is.True(proto.Equal(d, again))
		})
	}
}

// TestKeysAreDocumented checks that docs/ops/plans.md has a table row for every key.
func TestKeysAreDocumented(t *testing.T) {
	is := is.New(t)
	doc, err := os.ReadFile("../docs/ops/plans.md")
	is.NoErr(err)
	for _, title := range []string{"model x", "adapter x/y", "service x", "workspace x", "host x", "endpoint x", "placement"} {
		_, err := Parse(File{"d.ini", []byte("[" + title + "]\nno-such-key = 1\n")})
		kind, _, _ := strings.Cut(title, " ")
		_, part, ok := strings.Cut(string(doc), "### `["+kind)
		is.True(ok) // a heading for the kind
		part, _, _ = strings.Cut(part, "\n##")
		for _, m := range err.(Mistakes) {
			if m.Key != "no-such-key" {
				continue
			}
			for key := range strings.SplitSeq(m.Allowed, ", ") {
				if !strings.Contains(part, "| `"+key+"` |") {
					t.Errorf("[%s] %s is not documented", kind, key)
				}
			}
		}
	}
}
