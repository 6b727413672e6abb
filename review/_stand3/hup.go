package main

import (
	"fmt"
	"syscall"
	"time"
)

func hup() int {
	f, err := setUp(fleetOptions{core: 3, edge: 2}, 3)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer f.close()
	time.Sleep(2 * time.Second)
	for _, m := range []*machine{f.edge[0], f.core[0]} {
		for _, d := range []int{1, 3, 5, 8, 10, 12, 15, 20, 25, 30, 40, 50, 70, 100, 150} {
			m.kill()
			m.boot["bootstrap"] = false
			f.start(m)
			time.Sleep(time.Duration(d) * time.Millisecond)
			m.signal(syscall.SIGHUP)
			time.Sleep(300 * time.Millisecond)
			fmt.Println(m.name, d, "ms ended:", m.ended())
			if m.ended() {
				f.start(m)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return 0
}
