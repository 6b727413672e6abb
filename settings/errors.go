package settings

import (
	"fmt"
	"strings"

	"azurestair.example/azurestair"
)

// Error is one fault in a file.
type Error struct {
	// File is the name of the file as it was given.
	File string
	// Line is the line of the key, or of the table that lacks it; the first line is 1.
	Line int
	// Key is the full name of the key, for example control.voters[1].id. It is
	// empty when the fault is not about one key.
	Key string
	// Detail says what is wrong and what is allowed.
	Detail string
}

// Error returns the fault on one line.
func (e *Error) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Detail)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Detail)
}

// Unwrap returns azurestair.ErrInvalid.
func (e *Error) Unwrap() error { return azurestair.ErrInvalid }

// Errors lists all faults of a file in the order of their lines.
type Errors []*Error

// Error returns the faults, one on each line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, one := range e {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults for errors.Is and errors.As.
func (e Errors) Unwrap() []error {
	list := make([]error, len(e))
	for i, one := range e {
		list[i] = one
	}
	return list
}
