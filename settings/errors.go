package settings

import (
	"fmt"
	"strings"

	"azurestair.example/azurestair"
)

// Error is one error in a file.
type Error struct {
	// File is the file name that was passed to Load or Parse.
	File string
	// Line is the line of the key, or of the table in which it is missing; the
	// first line is 1.
	Line int
	// Key is the full name of the key, for example control.voters[1].id. It is
	// empty if the error does not concern a single key.
	Key string
	// Detail describes the error and the allowed values.
	Detail string
}

// Error formats the error on one line as file:line: key: detail.
func (e *Error) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Detail)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Detail)
}

// Unwrap returns azurestair.ErrInvalid.
func (e *Error) Unwrap() error { return azurestair.ErrInvalid }

// Errors lists all errors of a file, sorted by line.
type Errors []*Error

// Error returns the errors, one per line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the individual errors for errors.Is and errors.As.
func (e Errors) Unwrap() []error {
	list := make([]error, len(e))
	for i, err := range e {
		list[i] = err
	}
	return list
}
