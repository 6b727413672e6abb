// Command stand3 plays the cases of a review with processes of the system and
// stand-ins for clients, workers and the operator.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

func main() {
	cases := map[string]func(*record) int{"11": case11, "12": case12, "13": case13, "14": case14, "15": case15}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE, in the root of the repository")
		os.Exit(exitNotRun)
	}
	rec, err := newRecord(filepath.Join("review", os.Args[1]))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	status := cases[os.Args[1]](rec)
	rec.say("exit status %d", status)
	rec.close()
	os.Exit(status)
}

// setUp starts a deployment with a configuration and workers.
func setUp(o fleetOptions, workers int) (*fleet, error) {
	f, err := newFleet(o)
	if err != nil {
		return nil, err
	}
	if err := f.startAll(); err != nil {
		f.close()
		return nil, err
	}
	if s := f.order("/azurestair/Config.Put", configDoc(1, usualRules(), []string{"desk"}), 20*time.Second); s != 200 {
		f.close()
		return nil, fmt.Errorf("the configuration was answered %d", s)
	}
	for i := range workers {
		w := f.newWorker(fmt.Sprintf("i-%08x", i+1), "desk", []string{"kigali-a", "huye-a", "musanze-a"}[i%3])
		if err := w.start(); err != nil {
			f.close()
			return nil, err
		}
	}
	if err := f.waitReady(20 * time.Second); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}
