package declaration

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
)

// FuzzParse checks that no input causes a panic, that every mistake has a file, a line
// and a problem, and that an accepted document is the same after Render and Parse.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"", valid, "[", "[]", "=", "[model m]\n=", "[a\n]b", "[model m]\nversion=\\\nx", "[model m] ; c\nversion = 1 ; c\n",
		"[model m]\nversion=\"\"\"1", "[model m]\nversion=`", "[model m]\nversion=%(x)s", "[adapter /]", "\x00", "[placement]\nmoving=100%",
		"[DEFAULT]\nx=1", "[model DEFAULT]", "[model a.b]\nversion=1", "[placement]\r\nmoving = 7%\r\n", strings.Repeat("[host h]\n", 3),
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Parse(File{"f.ini", data})
		if err != nil {
			for _, m := range err.(Mistakes) {
				if m.File != "f.ini" || m.Line < 1 || m.Problem == "" {
					t.Fatalf("file, line or problem missing in %+v", m)
				}
			}
			return
		}
		again, err := Parse(File{"f.ini", Render(d)})
		if err != nil {
			t.Fatalf("canonical form does not parse: %v\n%s", err, Render(d))
		}
		if !proto.Equal(d, again) {
			t.Fatalf("document changed by rendering and parsing:\n%s\n%s", Render(d), Render(again))
		}
	})
}
