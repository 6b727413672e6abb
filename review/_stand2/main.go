// Command stand2 plays the cases of the second review: it starts the system's
// processes and the stand-ins of clients, workers, the operator and the
// platform.
package main

import (
	"fmt"
	"os"
)

// disrupted is false for a calm run.
func disrupted() bool { return os.Getenv("TROUBLE") != "0" }

var cases = map[string]func(*record) int{
	"repair":  runRepair,
	"grow":    runGrow,
	"first":   runFirst,
	"lines":   runLines,
	"leaders": runLeaders,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD")
		os.Exit(exitNoRun)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNoRun)
	}
	os.Exit(cases[os.Args[1]](rec))
}
