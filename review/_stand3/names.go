package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

func names() int {
	f, err := setUp(fleetOptions{core: 3, edge: 2}, 2)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer f.close()
	w := f.newWorker("i-0000ffff", "desk2", "kigali-a")
	w.start()
	time.Sleep(4 * time.Second)
	v := 1
	n := envInt("N", 5)
	for i := range n {
		v++
		services := []string{"desk", "desk2"}
		for k := range 55 {
			services = append(services, fmt.Sprintf("p%d-%d", i, k))
		}
		fmt.Println(v, f.order("/azurestair/Config.Put", configDoc(v, usualRules(), services, nil), 5*time.Second))
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	rules := usualRules()
	rules[0].Service, rules[1].Service = "desk2", "desk2"
	v++
	fmt.Println(v, f.order("/azurestair/Config.Put", configDoc(v, rules, []string{"desk", "desk2"}, nil), 5*time.Second))
	time.Sleep(4 * time.Second)
	for _, m := range f.edge {
		c, _ := dial(m.addr(frontPort))
		r := c.do("GET", host, "/read/a", "", nil, 2*time.Second)
		fmt.Println(m.name, r.Status, r.Stamp, r.Body, m.isReady())
		data, _ := os.ReadFile(m.dir + "/log.txt")
		lines := strings.Split(string(data), "\n")
		for _, l := range lines[max(0, len(lines)-6):] {
			fmt.Println("   ", l)
		}
	}
	return 0
}
