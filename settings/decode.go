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

// MaxFileBytes is the largest accepted file. A fleet configuration with the
// largest number of workspaces, each with two digests of keys, takes 2.3 MB.
const MaxFileBytes azurestair.Bytes = 4 << 20

// maxErrors limits the number of errors reported for one file.
const maxErrors = 100

// decoder copies the tables of one file into a struct and collects all errors.
type decoder struct {
	file     string
	keyLines positions
	errs     Errors
}

// decode reads data into dst, which points to a struct that holds the defaults.
// It returns a nil decoder and the errors if data is too large, too deeply
// nested or not valid TOML.
func decode(name string, data []byte, dst any) (*decoder, error) {
	d := &decoder{file: name}
	if azurestair.Bytes(len(data)) > MaxFileBytes {
		d.addError("", "file is too large; allowed are %d bytes", MaxFileBytes)
		return nil, d.err()
	}
	lines, tooDeepLine := scanPositions(string(data))
	if tooDeepLine > 0 {
		d.errs = Errors{{File: name, Line: tooDeepLine, Detail: fmt.Sprintf("nesting is too deep; allowed are %d levels", maxDepth)}}
		return nil, d.err()
	}
	tables := map[string]any{}
	if err := toml.Unmarshal(data, &tables); err != nil {
		d.addSyntaxError(err)
		return nil, d.err()
	}
	d.keyLines = lines
	d.decodeTable("", tables, reflect.ValueOf(dst).Elem())
	return d, nil
}

func (d *decoder) addError(path, format string, args ...any) {
	if len(d.errs) >= maxErrors {
		return
	}
	detail := fmt.Sprintf(format, args...)
	if len(d.errs) == maxErrors-1 {
		path, detail = "", fmt.Sprintf("has %d or more errors; the rest is not shown", maxErrors)
	}
	d.errs = append(d.errs, &Error{File: d.file, Line: d.keyLines.line(path), Key: path, Detail: detail})
}

// addValidationError adds an error from a Validate or Check function of the
// root package; nil adds nothing.
func (d *decoder) addValidationError(path string, err error) {
	if err != nil {
		detail := strings.ReplaceAll(err.Error(), azurestair.ErrInvalid.Error()+": ", "")
		// Error.Error already prints the key in front of the detail.
		d.addError(path, "%s", strings.Replace(detail, path+" = ", "is ", 1))
	}
}

func (d *decoder) addSyntaxError(err error) {
	parseErr := &Error{File: d.file, Line: 1, Detail: "file is not TOML: " + err.Error()}
	var tomlErr toml.ParseError
	if errors.As(err, &tomlErr) {
		parseErr.Line = max(tomlErr.Position.Line, 1)
		parseErr.Key = tomlErr.LastKey
		parseErr.Detail = "file is not TOML: " + tomlErr.Message
	}
	d.errs = append(d.errs, parseErr)
}

// err returns all errors sorted by line, or nil if there are none.
func (d *decoder) err() error {
	if len(d.errs) == 0 {
		return nil
	}
	slices.SortStableFunc(d.errs, func(a, b *Error) int { return cmp.Compare(a.Line, b.Line) })
	return d.errs
}

// decodeTable fills a struct from a TOML table.
func (d *decoder) decodeTable(path string, v any, dst reflect.Value) {
	values, ok := v.(map[string]any)
	if !ok {
		d.addError(path, "is %s; allowed is a table with the keys %s", tomlTypeName(v), allowedKeys(dst.Type()))
		return
	}
	for _, name := range sortedKeys(values) {
		field, ok := fieldByTag(dst, name)
		if !ok {
			d.addError(joinPath(path, name), "unknown key; allowed are %s", allowedKeys(dst.Type()))
			continue
		}
		d.decodeValue(joinPath(path, name), values[name], field)
	}
}

// decodeValue fills one value of any supported kind.
func (d *decoder) decodeValue(path string, v any, dst reflect.Value) {
	if text, ok := dst.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(path, v, text)
		return
	}
	switch dst.Kind() {
	case reflect.Pointer:
		dst.Set(reflect.New(dst.Type().Elem()))
		d.decodeValue(path, v, dst.Elem())
	case reflect.Struct:
		d.decodeTable(path, v, dst)
	case reflect.Slice, reflect.Array:
		d.decodeArray(path, v, dst)
	default:
		d.decodeScalar(path, v, dst)
	}
}

func (d *decoder) decodeText(path string, v any, dst encoding.TextUnmarshaler) {
	s, ok := v.(string)
	if !ok {
		d.addError(path, "is %s; allowed is a string", tomlTypeName(v))
		return
	}
	d.addValidationError(path, dst.UnmarshalText([]byte(s)))
}

func (d *decoder) decodeArray(path string, v any, dst reflect.Value) {
	values := reflect.ValueOf(v)
	if values.Kind() != reflect.Slice {
		d.addError(path, "is %s; allowed is a list", tomlTypeName(v))
		return
	}
	n := values.Len()
	if dst.Kind() == reflect.Array && n != dst.Len() {
		d.addError(path, "has %d values; allowed are exactly %d", n, dst.Len())
		return
	}
	if dst.Kind() == reflect.Slice {
		dst.Set(reflect.MakeSlice(dst.Type(), n, n))
	}
	for i := range n {
		d.decodeValue(indexPath(path, i), values.Index(i).Interface(), dst.Index(i))
	}
}

func (d *decoder) decodeScalar(path string, v any, dst reflect.Value) {
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
	case float64:
		if dst.CanFloat() {
			dst.SetFloat(x)
			return
		}
	case int64:
		if dst.CanFloat() {
			dst.SetFloat(float64(x))
			return
		}
		if dst.CanInt() && !dst.OverflowInt(x) {
			dst.SetInt(x)
			return
		}
		if dst.CanUint() && x >= 0 {
			dst.SetUint(uint64(x))
			return
		}
	}
	d.addError(path, "is %s; allowed is %s", tomlTypeName(v), expectedTypeName(dst.Kind()))
}

// tomlTypeName returns the name of the TOML type of a decoded value.
func tomlTypeName(v any) string {
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

func expectedTypeName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Uint64:
		return "an integer of at least 0"
	case reflect.Float64:
		return "a number"
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
