// Command stand3 plays the cases of a review with processes of the system and
// stand-ins for clients, workers and the operator.
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func() int{"probe": probe, "chaos": chaos, "cold": cold, "term": term, "long": long, "names": names, "odd": odd, "again": again, "gone": gone, "hup": hup}
	if len(os.Args) < 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE")
		os.Exit(2)
	}
	os.Exit(cases[os.Args[1]]())
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
	if s := f.order("/azurestair/Config.Put", configDoc(1, usualRules(), []string{"desk"}, nil), 20e9); s != 200 {
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
	if err := f.waitReady(20e9); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}
