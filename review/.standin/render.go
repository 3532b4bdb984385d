package main

import (
	"fmt"
	"regexp"
	"strings"
)

var (
	gap     = regexp.MustCompile(`\{\{([a-zA-Z0-9_.]+)\}\}`)
	present = regexp.MustCompile(`\{\{#([a-zA-Z0-9_.]+)\}\}(.*?)\{\{/([a-zA-Z0-9_.]+)\}\}`)
	absent  = regexp.MustCompile(`\{\{\^([a-zA-Z0-9_.]+)\}\}(.*?)\{\{/([a-zA-Z0-9_.]+)\}\}`)
)

// render fills a settings template as the platform does: {{name}} is a value, {{#name}}..{{/name}} stands if the
// value is given or true, {{^name}}..{{/name}} if not.
func render(template string, values map[string]any) string {
	isSet := func(name string) bool { v, ok := values[name]; return ok && v != false }
	text := present.ReplaceAllStringFunc(template, func(m string) string {
		p := present.FindStringSubmatch(m)
		if isSet(p[1]) {
			return p[2]
		}
		return ""
	})
	text = absent.ReplaceAllStringFunc(text, func(m string) string {
		p := absent.FindStringSubmatch(m)
		if !isSet(p[1]) {
			return p[2]
		}
		return ""
	})
	return gap.ReplaceAllStringFunc(text, func(m string) string {
		switch v := values[strings.Trim(m, "{}")].(type) {
		case nil:
			return ""
		case []string:
			return strings.Join(v, ",")
		default:
			return fmt.Sprint(v)
		}
	})
}
