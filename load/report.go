package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Bound is the kind of limit that a target sets.
type Bound uint8

const (
	// NoBound means that the figure has no target.
	NoBound Bound = iota
	// AtMost means that the target is an upper limit.
	AtMost
	// AtLeast means that the target is a lower limit.
	AtLeast
)

// Figure is one measured value.
type Figure struct {
	Scenario string  `json:"scenario"`
	Name     string  `json:"name"`
	Value    float64 `json:"value"`
	Unit     string  `json:"unit"`
	Bound    Bound   `json:"bound,omitempty"`
	Target   float64 `json:"target,omitempty"`
}

// Met reports whether the figure meets its target or has none.
func (f Figure) Met() bool {
	switch f.Bound {
	case AtMost:
		return f.Value <= f.Target
	case AtLeast:
		return f.Value >= f.Target
	}
	return true
}

func (f Figure) target() string {
	switch f.Bound {
	case AtMost:
		return fmt.Sprintf("<= %g %s", f.Target, targetStatus(f))
	case AtLeast:
		return fmt.Sprintf(">= %g %s", f.Target, targetStatus(f))
	}
	return ""
}

func targetStatus(f Figure) string {
	if f.Met() {
		return "met"
	}
	return "MISSED"
}

// Failure is a scenario that could not be measured.
type Failure struct {
	Scenario string `json:"scenario"`
	Error    string `json:"error"`
}

// RunReport is the result of a run.
type RunReport struct {
	Deployment string    `json:"deployment"`
	Entries    int       `json:"entries"`
	Controls   int       `json:"controls"`
	Procs      int       `json:"procs"`
	Figures    []Figure  `json:"figures"`
	Failures   []Failure `json:"failures,omitempty"`
}

// Write prints the report as a text table.
func (r RunReport) Write(w io.Writer) error {
	_, _ = fmt.Fprintf(w, "deployment %s, %d entries, %d of them also control, %d processors each\n",
		r.Deployment, r.Entries, r.Controls, r.Procs)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, f := range r.Figures {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%.4g\t%s\t%s\n", f.Scenario, f.Name, f.Value, f.Unit, f.target())
	}
	for _, f := range r.Failures {
		_, _ = fmt.Fprintf(t, "%s\tnot measured: %s\t\t\t\n", f.Scenario, f.Error)
	}
	return t.Flush()
}
