// Command stand plays the cases of the review against the system's own
// programs.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(f *fleet, trouble bool) (int, error){}

func main() {
	name := flag.String("case", "", "the case to play")
	root := flag.String("root", ".", "root of the repository")
	record := flag.String("record", "record.txt", "the record to write")
	controls := flag.Int("controls", 3, "control machines")
	entries := flag.Int("entries", 1, "entry machines")
	flag.Parse()
	os.Exit(play(*name, *root, *record, *controls, *entries))
}

func play(name, root, record string, controls, entries int) int {
	run, ok := cases[name]
	root, err := filepath.Abs(root)
	if !ok || err != nil {
		fmt.Fprintln(os.Stderr, "unknown case", name, err)
		return failed
	}
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, trouble %t", name, trouble)
	f, err := newFleet(root, rec, controls, entries)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		f.close()
		os.Exit(failed)
	}()
	defer f.close()
	code, err := run(f, trouble)
	if err != nil {
		rec.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return failed
	}
	rec.log("exit %d", code)
	return code
}
