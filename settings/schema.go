package settings

import (
	"encoding"
	"reflect"
	"strings"

	"azurestair.example/azurestair"
)

// Keys lists the full names of all keys of a settings file. An element of a
// list is written as [], for example control.voters[].id.
func Keys() []string { return keysOf("", reflect.TypeFor[Settings]()) }

// FleetKeys lists the full names of all keys of a fleet configuration file.
func FleetKeys() []string { return keysOf("", reflect.TypeFor[azurestair.Config]()) }

var textType = reflect.TypeFor[encoding.TextUnmarshaler]()

func keysOf(path string, t reflect.Type) []string {
	if reflect.PointerTo(t).Implements(textType) {
		return []string{path}
	}
	switch {
	case t.Kind() == reflect.Struct:
		var keys []string
		for i := range t.NumField() {
			if tagOf(t.Field(i)) == notInFiles {
				continue
			}
			keys = append(keys, keysOf(join(path, tagOf(t.Field(i))), t.Field(i).Type)...)
		}
		return keys
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct:
		return keysOf(path+"[]", t.Elem())
	}
	return []string{path}
}

// notInFiles is the tag of a field that files cannot set.
const notInFiles = "-"

// tagOf returns the TOML key of a field.
func tagOf(f reflect.StructField) string { return f.Tag.Get("toml") }

// fieldByTag finds the field with a TOML key.
func fieldByTag(v reflect.Value, name string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if tagOf(v.Type().Field(i)) == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func allowedKeys(t reflect.Type) string {
	var names []string
	for i := range t.NumField() {
		if tag := tagOf(t.Field(i)); tag != notInFiles {
			names = append(names, tag)
		}
	}
	return strings.Join(names, ", ")
}
