package main

import (
	"fmt"
	"time"
)

// setUp starts the system, applies a first configuration and waits until the
// entries serve requests. The workers are started by startWorkers.
func (f *fleet) setUp(cfg []byte, startWorkers func() error) error {
	if err := f.startAll(); err != nil {
		return err
	}
	if startWorkers != nil {
		if err := startWorkers(); err != nil {
			return err
		}
	}
	if _, err := f.orderAnywhere("POST", "/azurestair/Config.Put", cfg, 15*time.Second); err != nil {
		return err
	}
	return f.waitReady(15 * time.Second)
}

// waitServed sends warm-up requests until all entries have answered one with
// success.
func (f *fleet) waitServed(a attempt, wait time.Duration) error {
	deadline := time.Now().Add(wait)
	for _, m := range f.entries {
		for {
			a.id = newAttemptID()
			got := f.send(m, a)
			if got.status == 200 {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not serve requests: status %d, %s, %v", m.name, got.status, short(got.body), got.err)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
