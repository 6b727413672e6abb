package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"azurestair.example/azurestair"
	"azurestair.example/azurestair/settings"
)

func addSeeds(f *testing.F, pattern string) {
	paths, err := filepath.Glob(pattern)
	if err != nil || len(paths) == 0 {
		f.Fatalf("no seeds for %s: %v", pattern, err)
	}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	for _, s := range []string{"", "[", "a.b.c = {x = [1, {}]}", "[[a]]\n[a.b]\nc = '''x'''", "\"\\u0000\" = 1", "x = 1979-05-27"} {
		f.Add([]byte(s))
	}
}

// checkErrors fails the test unless err is a non-empty Errors in which every
// error has a line of the file.
func checkErrors(t *testing.T, data []byte, err error) {
	var errs settings.Errors
	if !errors.As(err, &errs) || len(errs) == 0 || !errors.Is(err, azurestair.ErrInvalid) {
		t.Fatalf("error is not a list of errors: %v", err)
	}
	lines := strings.Count(string(data), "\n") + 1
	for _, e := range errs {
		if e.File != "f.toml" || e.Line < 1 || e.Line > lines || e.Detail == "" {
			t.Fatalf("error without a position in a file of %d lines: %+v", lines, e)
		}
	}
}

// FuzzParse guards against panics and against errors without a position in the
// file.
func FuzzParse(f *testing.F) {
	addSeeds(f, "../examples/*/entry-*.toml")
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := settings.Parse("f.toml", data); err != nil {
			checkErrors(t, data, err)
		}
	})
}

// FuzzParseFleet also guards against accepting a configuration that the control
// instances would reject.
func FuzzParseFleet(f *testing.F) {
	addSeeds(f, "../examples/*/fleet.toml")
	f.Add([]byte(workspacesText))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := settings.ParseFleet("f.toml", data)
		if err != nil {
			checkErrors(t, data, err)
			return
		}
		if err := c.Validate(); err != nil {
			t.Fatal(err)
		}
	})
}
