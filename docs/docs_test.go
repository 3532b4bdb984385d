package docs_test

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/micarudder/micarudder/agent"
	"github.com/micarudder/micarudder/gateway"
	"github.com/micarudder/micarudder/relay"
	"github.com/micarudder/micarudder/settings"
)

var update = flag.Bool("update", false, "rewrite the generated parts of the pages")

const operations = "OPERATIONS.md"

// TestSettingsReference holds the settings tables of OPERATIONS.md equal to
// what the programs read.
func TestSettingsReference(t *testing.T) {
	page, err := os.ReadFile(operations)
	if err != nil {
		t.Fatal(err)
	}
	want := string(page)
	want = replacePart(t, want, "gateway-settings", settings.Reference(gateway.Settings{}))
	want = replacePart(t, want, "agent-settings", settings.Reference(agent.Settings{}))
	want = replacePart(t, want, "relay-settings", settings.Reference(relay.Settings{}))
	if want == string(page) {
		return
	}
	if !*update {
		t.Fatalf("%s differs from the settings that the programs read; run go test ./docs -update", operations)
	}
	if err := os.WriteFile(operations, []byte(want), 0o644); err != nil {
		t.Fatal(err)
	}
}

// replacePart replaces what stands between the two markers of a part.
func replacePart(t *testing.T, page, part, text string) string {
	t.Helper()
	begin, end := "<!-- begin "+part+" -->\n", "<!-- end "+part+" -->"
	i, j := strings.Index(page, begin), strings.Index(page, end)
	if i < 0 || j < i {
		t.Fatalf("no part %s in %s", part, operations)
	}
	return page[:i+len(begin)] + text + "\n" + page[j:]
}
