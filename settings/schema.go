package settings

import (
	"encoding"
	"reflect"
	"strings"

	"azurestair.example/azurestair"
)

// Keys returns the full names of all keys of a settings file. List elements are
// written as [], for example control.voters[].id.
func Keys() []string { return fieldKeys("", reflect.TypeFor[Settings]()) }

// FleetKeys returns the full names of all keys of a fleet configuration file.
func FleetKeys() []string { return fieldKeys("", reflect.TypeFor[azurestair.Config]()) }

var textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()

func fieldKeys(path string, t reflect.Type) []string {
	if reflect.PointerTo(t).Implements(textUnmarshalerType) {
		return []string{path}
	}
	switch {
	case t.Kind() == reflect.Struct:
		var keys []string
		for i := range t.NumField() {
			if tomlTag(t.Field(i)) == ignoredTag {
				continue
			}
			keys = append(keys, fieldKeys(joinPath(path, tomlTag(t.Field(i))), t.Field(i).Type)...)
		}
		return keys
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct:
		return fieldKeys(path+"[]", t.Elem())
	}
	return []string{path}
}

// ignoredTag marks a field that cannot be set in a file.
const ignoredTag = "-"

// tomlTag returns the TOML key of a field.
func tomlTag(f reflect.StructField) string { return f.Tag.Get("toml") }

// fieldByTag returns the field of v with the TOML key name.
func fieldByTag(v reflect.Value, name string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if tomlTag(v.Type().Field(i)) == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func allowedKeys(t reflect.Type) string {
	var names []string
	for i := range t.NumField() {
		if tag := tomlTag(t.Field(i)); tag != ignoredTag {
			names = append(names, tag)
		}
	}
	return strings.Join(names, ", ")
}
