package docs_test

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/micarudder/micarudder/agent"
	"github.com/micarudder/micarudder/gateway"
	"github.com/micarudder/micarudder/settings"
)

// TestExampleSettings: the programs accept every example of their settings.
func TestExampleSettings(t *testing.T) {
	files, err := filepath.Glob("../examples/settings/*.ini")
	if err != nil || len(files) == 0 {
		t.Fatal("no examples", err)
	}
	for _, file := range files {
		var target any = new(agent.Settings)
		if strings.HasSuffix(file, "-gateway.ini") {
			target = new(gateway.Settings)
		}
		is.New(t).NoErr(settings.Load(file, target))
	}
}
