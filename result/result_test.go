package result

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// docPath is the page that contains the table.
const docPath = "../docs/RESULT-CODES.md"

var update = flag.Bool("update", false, "write "+docPath)

const intro = `# Result codes

Generated from package result by ` + "`go test ./result -update`" + `; do not edit.

A problem document (` + "`application/problem+json`" + `, or the ` + "`error`" + ` event of a stream)
carries the code and the outcome. The outcome below is what the code stands for
by itself. A response's own ` + "`outcome`" + ` goes first: evidence can make it more
certain, and where a ticket or an idempotency key is presented "not run" is said
only with the agent's seal, for another gateway may hold an order under the same
name. "Not run" then holds for good under that name: ask again with a new ticket
or key.

Every answer whose advice is to ask again later carries ` + "`Retry-After`" + `, in
seconds, and ` + "`retry_after_ms`" + `.

`

// page renders the page.
func page() string {
	var b strings.Builder
	b.WriteString(intro)
	b.WriteString("| Code | Name | HTTP status | Did it run? | What to do | Meaning |\n|---|---|---|---|---|---|\n")
	for _, i := range All() {
		status := "-"
		if i.Status != 0 {
			status = fmt.Sprint(i.Status)
		}
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s | %s | %s |\n", i.Code, i.Name, status, i.Outcome, i.Advice, i.Text)
	}
	return b.String()
}

// TestPage checks that the page matches the code.
func TestPage(t *testing.T) {
	is := is.New(t)
	if *update {
		is.NoErr(os.WriteFile(docPath, []byte(page()), 0o644))
	}
	got, err := os.ReadFile(docPath)
	is.NoErr(err)
	is.Equal(string(got), page())
}

// TestTable checks that numbers and names are unique and in order, that every code states
// whether the request ran, and that a code with the advice to retry later has a status that
// allows Retry-After.
func TestTable(t *testing.T) {
	is := is.New(t)
	names := map[string]bool{}
	var last Code
	for _, i := range All() {
		is.True(i.Code > last)
		is.True(!names[i.Name])
		is.True(i.Outcome != OutcomeUnspecified)
		is.True(i.Text != "")
		if i.Advice == AdviceLater && i.Status != 0 {
			is.True(i.Status == 503 || i.Status == 429)
		}
		is.Equal(Lookup(i.Code), i)
		last, names[i.Name] = i.Code, true
	}
	is.Equal(Lookup(9999).Outcome, MayHaveRun)
}
