package main

import (
	"encoding/json"
	"fmt"
)

const host = "ficu95.example"

type rule struct {
	Name, Kind, Prefix, Service string
	Timeout, Attempts, Priority int
}

// configDoc returns a configuration in the form in which the operator sends it.
func configDoc(version int, rules []rule, services []string) []byte {
	var rr []map[string]any
	for _, r := range rules {
		action := map[string]any{"timeout_ms": r.Timeout, "max_attempts": r.Attempts, "home_regions": []string{}, "service": r.Service}
		rr = append(rr, map[string]any{
			"name": r.Name, "kind": r.Kind, "target_latency_ms": 400, "priority": r.Priority, "sticky": false,
			"match": map[string]any{"path_prefix": r.Prefix}, "action": action,
		})
	}
	var cc []map[string]any
	for _, s := range services {
		cc = append(cc, map[string]any{
			"name": s, "health_path": "/health", "max_conns": 330, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 11.0,
		})
	}
	doc := map[string]any{
		"version":   fmt.Sprintf("%08x", version),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"listeners": []map[string]any{{"host": host, "route_rules": rr}}, "clusters": cc,
	}
	data, _ := json.Marshal(doc)
	return data
}

// usualRules are a safe and an unsafe route to one service.
func usualRules() []rule {
	return []rule{
		{Name: "r-safe", Kind: "safe", Prefix: "/read/", Service: "desk", Timeout: 5000, Attempts: 2, Priority: 1},
		{Name: "r-unsafe", Kind: "unsafe", Prefix: "/order/", Service: "desk", Timeout: 8000, Attempts: 2, Priority: 0},
	}
}
