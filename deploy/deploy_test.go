// Package deploy holds the files with which the users' platform runs the system.
// Its test checks that the settings rendered from the template are valid.
package deploy

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/relay"
	"github.com/micarudder/micarudder/settings"
)

// templateFields are the values that the platform sets on a gateway's host.
var templateFields = map[string]string{
	"node": "front-a-1", "zone": "a", "ip": "10.1.0.40", "seeds": "10.1.0.40:8229,10.2.0.29:8229",
	"listen.front": "10.1.0.40:8227", "listen.ready": "10.1.0.40:8220", "listen.control": "10.1.0.40:8229",
	"internalPorts.0": "7340", "provider.address": "10.200.1.7:8223",
	"bounds.strictRevoke": "true", "bounds.revokeMs": "5000", "bounds.retryBudgetRatio": "0.2", "bounds.budgetSlack": "104.0",
	"bounds.budgetWindowS": "10", "bounds.graceS": "8", "bounds.idleMaxMs": "7000",
}

var (
	sectionPattern  = regexp.MustCompile(`\{\{([#^])([^}]+)\}\}(.*?)\{\{/[^}]+\}\}`)
	variablePattern = regexp.MustCompile(`\{\{([^}]+)\}\}`)
)

// render renders the template as the platform does. It supports the syntax that
// the template uses: variables, sections and inverted sections.
func render(text string, fields map[string]string) string {
	text = sectionPattern.ReplaceAllStringFunc(text, func(s string) string {
		m := sectionPattern.FindStringSubmatch(s)
		set := fields[m[2]] != "" && fields[m[2]] != "false"
		if set == (m[1] == "#") {
			return m[3]
		}
		return ""
	})
	return variablePattern.ReplaceAllStringFunc(text, func(s string) string { return fields[strings.Trim(s, "{}")] })
}

// loadRendered renders relay.ini.tmpl with templateFields and changes, and loads the settings.
func loadRendered(t *testing.T, changes map[string]string) (*relay.Settings, error) {
	t.Helper()
	p, err := os.ReadFile("relay.ini.tmpl")
	if err != nil {
		t.Fatal(err)
	}
	merged := make(map[string]string)
	for _, m := range []map[string]string{templateFields, changes} {
		for k, v := range m {
			merged[k] = v
		}
	}
	file := filepath.Join(t.TempDir(), "relay.ini")
	if err := os.WriteFile(file, []byte(render(string(p), merged)), 0o600); err != nil {
		t.Fatal(err)
	}
	s := new(relay.Settings)
	return s, settings.Load(file, s)
}

func TestTemplate(t *testing.T) {
	is := is.New(t)
	s, err := loadRendered(t, nil)
	is.NoErr(err)
	is.Equal(fmt.Sprint(s.Relay.Seeds), "[10.1.0.40:8229 10.2.0.29:8229]")
	is.Equal(s.Bounds.RevokeAfter.String(), "5s")
	is.Equal(s.Process.DrainTime.String(), "8s")
	is.Equal(s.Bounds.UnusedMemory.String(), "7s")
	is.Equal(int64(s.Process.HostMemory), int64(0)) // the platform does not tell it
}

// TestTemplateHostMemory guards against a process that does not know the memory of its host.
func TestTemplateHostMemory(t *testing.T) {
	is := is.New(t)
	s, err := loadRendered(t, map[string]string{"limits.memoryMb": "284"})
	is.NoErr(err)
	is.Equal(int64(s.Process.HostMemory), int64(284<<20))
}

func TestTemplateWithoutUnusedMemoryBound(t *testing.T) {
	is := is.New(t)
	s, err := loadRendered(t, map[string]string{"bounds.idleMaxMs": ""})
	is.NoErr(err)
	is.Equal(s.Bounds.UnusedMemory.String(), "9s")
}

func TestTemplateWithoutStrictRevoke(t *testing.T) {
	is := is.New(t)
	s, err := loadRendered(t, map[string]string{"bounds.strictRevoke": "false", "seeds": ""})
	is.NoErr(err)
	is.Equal(s.Bounds.RevokeAfter.String(), "0s")
}

func TestTemplateErrorNamesTheSetting(t *testing.T) {
	is := is.New(t)
	_, err := loadRendered(t, map[string]string{"listen.front": "nowhere"})
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "[relay] listen"))
}
