package settings

import (
	"cmp"
	"encoding"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"

	"azurestair.example/azurestair"
)

// MaxFileBytes is the largest accepted file. A fleet configuration at all its
// limits on counts takes less.
const MaxFileBytes azurestair.Bytes = 512 << 10

// maxFaults bounds the report on one file.
const maxFaults = 100

// decoder copies the tables of one file into a struct and collects all faults.
type decoder struct {
	file   string
	lines  positions
	faults Errors
}

// decode reads data into dst, which points to a struct that holds the defaults.
// It returns nil together with the faults when data is not TOML at all.
func decode(name string, data []byte, dst any) (*decoder, error) {
	d := &decoder{file: name}
	if azurestair.Bytes(len(data)) > MaxFileBytes {
		d.add("", "file is too large; allowed are %d bytes", MaxFileBytes)
		return nil, d.err()
	}
	found, tooDeep := scanPositions(string(data))
	if tooDeep > 0 {
		d.faults = Errors{{File: name, Line: tooDeep, Detail: fmt.Sprintf("nesting is too deep; allowed are %d levels", maxDepth)}}
		return nil, d.err()
	}
	tables := map[string]any{}
	if err := toml.Unmarshal(data, &tables); err != nil {
		d.addSyntax(err)
		return nil, d.err()
	}
	d.lines = found
	d.table("", tables, reflect.ValueOf(dst).Elem())
	return d, nil
}

func (d *decoder) add(path, format string, args ...any) {
	if len(d.faults) >= maxFaults {
		return
	}
	detail := fmt.Sprintf(format, args...)
	if len(d.faults) == maxFaults-1 {
		path, detail = "", fmt.Sprintf("has %d or more faults; the rest is not shown", maxFaults)
	}
	d.faults = append(d.faults, &Error{File: d.file, Line: d.lines.line(path), Key: path, Detail: detail})
}

// addErr reports a failed Validate or Check of the root package.
func (d *decoder) addErr(path string, err error) {
	if err != nil {
		detail := strings.ReplaceAll(err.Error(), azurestair.ErrInvalid.Error()+": ", "")
		// The key stands before the detail already.
		d.add(path, "%s", strings.Replace(detail, path+" = ", "is ", 1))
	}
}

func (d *decoder) addSyntax(err error) {
	fault := &Error{File: d.file, Line: 1, Detail: "file is not TOML: " + err.Error()}
	var parse toml.ParseError
	if errors.As(err, &parse) {
		fault.Line = max(parse.Position.Line, 1)
		fault.Key = parse.LastKey
		fault.Detail = "file is not TOML: " + parse.Message
	}
	d.faults = append(d.faults, fault)
}

// err returns all faults, or nil without one.
func (d *decoder) err() error {
	if len(d.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(d.faults, func(a, b *Error) int { return cmp.Compare(a.Line, b.Line) })
	return d.faults
}

// table fills a struct from a TOML table.
func (d *decoder) table(path string, v any, dst reflect.Value) {
	values, ok := v.(map[string]any)
	if !ok {
		d.add(path, "is %s; allowed is a table with the keys %s", kindOf(v), allowedKeys(dst.Type()))
		return
	}
	for _, name := range sortedKeys(values) {
		field, ok := fieldByTag(dst, name)
		if !ok {
			d.add(join(path, name), "unknown key; allowed are %s", allowedKeys(dst.Type()))
			continue
		}
		d.value(join(path, name), values[name], field)
	}
}

// value fills one value of any supported kind.
func (d *decoder) value(path string, v any, dst reflect.Value) {
	if text, ok := dst.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.text(path, v, text)
		return
	}
	switch dst.Kind() {
	case reflect.Struct:
		d.table(path, v, dst)
	case reflect.Slice, reflect.Array:
		d.list(path, v, dst)
	default:
		d.scalar(path, v, dst)
	}
}

func (d *decoder) text(path string, v any, dst encoding.TextUnmarshaler) {
	s, ok := v.(string)
	if !ok {
		d.add(path, "is %s; allowed is a string", kindOf(v))
		return
	}
	d.addErr(path, dst.UnmarshalText([]byte(s)))
}

func (d *decoder) list(path string, v any, dst reflect.Value) {
	values := reflect.ValueOf(v)
	if values.Kind() != reflect.Slice {
		d.add(path, "is %s; allowed is a list", kindOf(v))
		return
	}
	n := values.Len()
	if dst.Kind() == reflect.Array && n != dst.Len() {
		d.add(path, "has %d values; allowed are exactly %d", n, dst.Len())
		return
	}
	if dst.Kind() == reflect.Slice {
		dst.Set(reflect.MakeSlice(dst.Type(), n, n))
	}
	for i := range n {
		d.value(item(path, i), values.Index(i).Interface(), dst.Index(i))
	}
}

func (d *decoder) scalar(path string, v any, dst reflect.Value) {
	switch x := v.(type) {
	case string:
		if dst.Kind() == reflect.String {
			dst.SetString(x)
			return
		}
	case bool:
		if dst.Kind() == reflect.Bool {
			dst.SetBool(x)
			return
		}
	case int64:
		if dst.CanInt() && !dst.OverflowInt(x) {
			dst.SetInt(x)
			return
		}
		if dst.CanUint() && x >= 0 {
			dst.SetUint(uint64(x))
			return
		}
	}
	d.add(path, "is %s; allowed is %s", kindOf(v), kindWanted(dst.Kind()))
}

// kindOf names the TOML type of a decoded value.
func kindOf(v any) string {
	switch x := v.(type) {
	case string:
		return "a string"
	case bool:
		return "a boolean"
	case int64:
		return fmt.Sprintf("the integer %d", x)
	case float64:
		return "a number with a fraction"
	case map[string]any:
		return "a table"
	case []any, []map[string]any:
		return "a list"
	}
	return "a date or time"
}

func kindWanted(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Uint64:
		return "an integer of at least 0"
	}
	return "an integer"
}

func sortedKeys(m map[string]any) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
