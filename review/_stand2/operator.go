package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// operator sends orders as the platform's operator does: to any machine that
// serves control, to another one after a failure or too long a wait, with
// increasing pauses.
type operator struct {
	rec     *record
	targets []*machine
	client  *http.Client
}

func newOperator(rec *record, targets []*machine) *operator {
	return &operator{rec: rec, targets: targets, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// call sends one request to one machine.
func (o *operator) call(m *machine, method, path string, body []byte, wait time.Duration) (int, []byte, error) {
	req, err := http.NewRequest(method, "http://"+m.addr(controlPort)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	c := *o.client
	c.Timeout = wait
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// order sends an order until it is answered clearly, or until the deadline. It
// returns the status of the answer, or 0.
func (o *operator) order(method, path string, body []byte, wait time.Duration, deadline time.Time) (int, []byte) {
	pause := 50 * time.Millisecond
	first := rand.IntN(len(o.targets))
	for n := 0; time.Now().Before(deadline); n++ {
		m := o.targets[(first+n)%len(o.targets)]
		status, data, err := o.call(m, method, path, body, wait)
		if err == nil && (status == 200 || status == 400 || status == 409 || status == 412 || status == 413 || status == 422) {
			return status, data
		}
		o.rec.line("operator: %s %s at %s: %d %v", method, path, m.name, status, err)
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
	return 0, nil
}

// put sends a configuration.
func (o *operator) put(c *config, deadline time.Time) bool {
	data, err := json.Marshal(c)
	if err != nil {
		return false
	}
	began := time.Now()
	status, answer := o.order(http.MethodPost, "/azurestair/Config.Put", data, time.Second+3*time.Millisecond*time.Duration(c.routeCount()), deadline)
	o.rec.line("operator: configuration %s (%d routes, %d bytes): %d after %d ms %s", c.Version, c.routeCount(), len(data), status, time.Since(began).Milliseconds(), bytes.TrimSpace(answer))
	return status == 200
}

// get reads the configuration and returns its version.
func (o *operator) get(deadline time.Time) string {
	status, data := o.order(http.MethodGet, "/azurestair/Config.Get", nil, 2*time.Second, deadline)
	var c struct {
		Version string `json:"version"`
	}
	_ = json.Unmarshal(data, &c)
	o.rec.line("operator: read of the configuration: %d version %q", status, c.Version)
	return c.Version
}

type config struct {
	Version   string         `json:"version"`
	Limits    map[string]int `json:"limits"`
	Listeners []listener     `json:"listeners"`
	Clusters  []cluster      `json:"clusters"`
	Tenants   []tenant       `json:"tenants,omitempty"`
}

type listener struct {
	Host  string `json:"host"`
	Rules []rule `json:"route_rules"`
}

type rule struct {
	Name     string `json:"name"`
	Kind     string `json:"kind"`
	TargetMs int    `json:"target_latency_ms"`
	Priority int    `json:"priority"`
	Sticky   bool   `json:"sticky"`
	Match    struct {
		Prefix string `json:"path_prefix"`
	} `json:"match"`
	Action action `json:"action"`
}

type action struct {
	Service     string   `json:"service,omitempty"`
	Split       []part   `json:"split,omitempty"`
	TimeoutMs   int      `json:"timeout_ms"`
	MaxAttempts int      `json:"max_attempts"`
	HomeRegions []string `json:"home_regions"`
}

type part struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

type cluster struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"health_path"`
	MaxConns   int     `json:"max_conns"`
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	ColdStartS float64 `json:"cold_start_s"`
	ColdPerS   float64 `json:"cold_per_s"`
}

type tenant struct {
	Name       string   `json:"name"`
	Keys       []string `json:"api_keys"`
	RatePerS   float64  `json:"rate_per_s,omitempty"`
	Burst      float64  `json:"burst,omitempty"`
	Priority   *int     `json:"priority,omitempty"`
	HomeRegion []string `json:"home_regions,omitempty"`
}

const host = "ficu95.example"

func route(name, kind, prefix, service string, timeoutMs int) rule {
	r := rule{Name: name, Kind: kind, TargetMs: 400, Priority: 1, Sticky: true}
	r.Match.Prefix = prefix
	r.Action = action{Service: service, TimeoutMs: timeoutMs, MaxAttempts: 2, HomeRegions: []string{}}
	return r
}

// baseConfig returns a configuration with a safe and an unsafe route.
func baseConfig(version int) *config {
	return &config{
		Version: fmt.Sprintf("%08x", version),
		Limits:  map[string]int{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		Listeners: []listener{{Host: host, Rules: []rule{
			route("r-6x73d3z", "safe", "/lohu930/", "huvo11a", 1500), route("r-ji9n73h", "unsafe", "/pufi791/", "huvo11a", 2000),
		}}},
		Clusters: []cluster{{Name: "huvo11a", HealthPath: "/health", MaxConns: 330, Protocol: "h1", ColdStartS: 3, ColdPerS: 11}},
	}
}

func (c *config) routeCount() int {
	n := 0
	for _, l := range c.Listeners {
		n += len(l.Rules)
	}
	return n
}
