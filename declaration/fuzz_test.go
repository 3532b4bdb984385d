package declaration

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
)

// FuzzParse: no input panics, every mistake names its file, and what is
// accepted survives rendering unchanged.
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
					t.Fatalf("incomplete mistake %+v", m)
				}
			}
			return
		}
		again, err := Parse(File{"f.ini", Render(d)})
		if err != nil {
			t.Fatalf("canonical form refused: %v\n%s", err, Render(d))
		}
		if !proto.Equal(d, again) {
			t.Fatalf("canonical form differs:\n%s\n%s", Render(d), Render(again))
		}
	})
}
