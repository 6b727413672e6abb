package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

func init() { cases["wipe"] = disksLostInTurn }

const (
	// wipeDown is how long a machine is down before it is back with an empty
	// disk, and wipeGap the time until the next machine loses its disk.
	wipeDown = 3 * time.Second
	wipeGap  = 20 * time.Second
	// readFor is how long the operator reads the configuration back.
	readFor = 25 * time.Second
)

// disksLostInTurn makes two of three control machines lose their disks, one long
// after the other. Without trouble they keep them.
func disksLostInTurn(f *fleet, trouble bool) (int, error) {
	cfg := config(7, []string{"jar-desk"}, []route{
		{name: "r-browse", prefix: "/browse/", kind: "safe", service: "jar-desk", timeoutMs: 1500, maxAttempts: 2, priority: 1},
	})
	err := f.setUp(cfg, func() error {
		_, err := f.startWorker("i-7f3a91c2", "jar-desk", 0, 5*time.Millisecond)
		return err
	})
	if err != nil {
		return failed, err
	}
	f.bootstrap = false
	time.Sleep(5 * time.Second)
	for _, m := range []*machine{f.controls[2], f.controls[1]} {
		f.kill(m)
		if trouble {
			f.rec.log("%s loses its disk", m.name)
			if err := os.RemoveAll(filepath.Join(m.dir, "data")); err != nil {
				return failed, err
			}
		}
		time.Sleep(wipeDown)
		if err := f.start(m); err != nil {
			return failed, err
		}
		if m == f.controls[2] {
			time.Sleep(wipeGap)
			got, err := f.readConfig(4 * time.Second)
			f.rec.log("between the losses: the configuration is read back: %t, error %v", bytes.Equal(got, cfg), err)
			if err != nil {
				return failed, fmt.Errorf("not ready for the second loss: %w", err)
			}
		}
	}
	deadline := time.Now().Add(readFor)
	for time.Now().Before(deadline) {
		got, err := f.readConfig(4 * time.Second)
		f.rec.log("the configuration is read back: %t, error %v", bytes.Equal(got, cfg), err)
		if err == nil && bytes.Equal(got, cfg) {
			return held, nil
		}
	}
	f.rec.log("CONFIG: the configuration doesn't come")
	return broken, nil
}

func (f *fleet) readConfig(wait time.Duration) ([]byte, error) {
	return f.orderAnywhere("GET", "/azurestair/Config.Get", nil, wait)
}
