// Package settings reads the INI settings of a process into a typed struct and rejects
// everything that it does not know. Each mistake names the file, the section, the key and the
// allowed values; all mistakes are reported together.
//
// The target is a struct whose fields are structs tagged `section:"name"`. A field that is a
// map from string to struct, tagged `section:"name *"`, receives every section whose name
// consists of the given name, a space and the map key. The fields of the structs are tagged
// `key:"name"` with the optional tags `default`, `required:"true"`, `allowed:"a|b"`, `min`,
// `max` and `help`. Supported field types are string, bool, int, float64, time.Duration, Size,
// Address, slices of string and Address (comma-separated), and every type that implements
// encoding.TextUnmarshaler. The error of its UnmarshalText is appended to the quoted value.
package settings

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"gopkg.in/ini.v1"
)

// Mistake is one error in a settings file.
type Mistake struct {
	File    string
	Section string
	Key     string
	Problem string
	Allowed string // the accepted values; may be empty
}

// Error implements error.
func (m *Mistake) Error() string {
	s := fmt.Sprintf("%s: [%s]", m.File, m.Section)
	if m.Key != "" {
		s += " " + m.Key
	}
	s += ": " + m.Problem
	if m.Allowed != "" {
		s += "; allowed: " + m.Allowed
	}
	return s
}

// Checker is implemented by a target that has rules across keys. Check is called after all
// keys were read and returns one *Mistake for each violated rule.
type Checker interface {
	Check() []*Mistake
}

// Load reads the file into target, a pointer to a struct. The error joins all mistakes.
func Load(file string, target any) error {
	f, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "=", IgnoreInlineComment: true, AllowShadows: true}, file)
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	r := &reader{name: file, file: f}
	r.read(reflect.ValueOf(target).Elem())
	if c, ok := target.(Checker); ok && len(r.mistakes) == 0 {
		for _, m := range c.Check() {
			m.File = file
			r.mistakes = append(r.mistakes, m)
		}
	}
	return errors.Join(r.mistakes...)
}

// Defaults sets target, a pointer to a struct, to the default values of its tags.
func Defaults(target any) error {
	r := &reader{name: "defaults", file: ini.Empty()}
	r.read(reflect.ValueOf(target).Elem())
	return errors.Join(r.mistakes...)
}

type reader struct {
	name     string
	file     *ini.File
	mistakes []error
}

func (r *reader) addMistake(section, key, problem, allowed string) {
	r.mistakes = append(r.mistakes, &Mistake{r.name, section, key, problem, allowed})
}

func (r *reader) read(target reflect.Value) {
	known := map[string]bool{ini.DefaultSection: true}
	t := target.Type()
	for i := range t.NumField() {
		name := t.Field(i).Tag.Get("section")
		if prefix, ok := strings.CutSuffix(name, "*"); ok {
			r.sectionMap(prefix, target.Field(i), known)
			continue
		}
		known[name] = true
		r.section(name, target.Field(i))
	}
	if len(r.file.Section(ini.DefaultSection).Keys()) > 0 {
		r.addMistake(ini.DefaultSection, r.file.Section(ini.DefaultSection).Keys()[0].Name(), "key outside any section", "")
	}
	for _, s := range r.file.SectionStrings() {
		if !known[s] {
			r.addMistake(s, "", "unknown section", strings.Join(sectionNames(t), ", "))
		}
	}
}

// sectionMap reads every section whose name begins with prefix into a map.
func (r *reader) sectionMap(prefix string, target reflect.Value, known map[string]bool) {
	target.Set(reflect.MakeMap(target.Type()))
	for _, name := range r.file.SectionStrings() {
		key, ok := strings.CutPrefix(name, prefix)
		if !ok {
			continue
		}
		known[name] = true
		member := reflect.New(target.Type().Elem()).Elem()
		r.section(name, member)
		target.SetMapIndex(reflect.ValueOf(key), member)
	}
}

func sectionNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		names = append(names, "["+t.Field(i).Tag.Get("section")+"]")
	}
	return names
}

func (r *reader) section(name string, target reflect.Value) {
	sec := r.file.Section(name)
	known := make(map[string]bool)
	var names []string
	for _, f := range reflect.VisibleFields(target.Type()) {
		if f.Anonymous {
			continue
		}
		key := f.Tag.Get("key")
		known[key] = true
		names = append(names, key)
		r.key(sec, f, target.FieldByIndex(f.Index))
	}
	for _, k := range sec.Keys() {
		if !known[k.Name()] {
			r.addMistake(name, k.Name(), "unknown key", strings.Join(names, ", "))
		}
	}
}

func (r *reader) key(sec *ini.Section, field reflect.StructField, target reflect.Value) {
	key := field.Tag.Get("key")
	text := field.Tag.Get("default")
	if sec.HasKey(key) {
		if vs := sec.Key(key).ValueWithShadows(); len(vs) > 1 {
			r.addMistake(sec.Name(), key, "given more than once", "")
			return
		}
		text = sec.Key(key).String()
	}
	if text == "" {
		if field.Tag.Get("allowed") != "" {
			r.addMistake(sec.Name(), key, "is empty", allowedText(field))
		}
		if field.Tag.Get("required") == "true" {
			r.addMistake(sec.Name(), key, "missing", allowedText(field))
		}
		return
	}
	if err := setValue(target, field, text); err != nil {
		r.addMistake(sec.Name(), key, fmt.Sprintf("%q %v", text, err), allowedText(field))
	}
}
