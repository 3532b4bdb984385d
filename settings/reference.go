package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// Reference returns a Markdown table of all sections and keys of a target struct, in the form
// used in docs/OPERATIONS.md.
func Reference(target any) string {
	var b strings.Builder
	t := reflect.TypeOf(target)
	for i := range t.NumField() {
		sec := t.Field(i)
		fmt.Fprintf(&b, "\n`[%s]`\n\n| key | value | default | meaning |\n|---|---|---|---|\n", sec.Tag.Get("section"))
		typ := sec.Type
		if typ.Kind() == reflect.Map {
			typ = typ.Elem()
		}
		for _, f := range reflect.VisibleFields(typ) {
			if f.Anonymous {
				continue
			}
			def := f.Tag.Get("default")
			if f.Tag.Get("required") == "true" {
				def = "required"
			}
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", f.Tag.Get("key"), allowedText(f), def, f.Tag.Get("help"))
		}
	}
	return b.String()
}
