package model

import "time"

// Patterns returns the load patterns against which the placement is evaluated.
func Patterns() []Scenario {
	return []Scenario{
		{Pattern: "calm"},
		{Pattern: "burst", Rate: 160, Burst: Burst{From: 8 * time.Second, To: 14 * time.Second, Factor: 2.4}},
		{Pattern: "zoneLoss", Rate: 160, Outage: Outage{From: 10 * time.Second, To: 15 * time.Second, Upstreams: 4, Cold: 3 * time.Second, ColdPerSecond: 9.7}},
		{Pattern: "unnoticedRestart", Entries: 5, Rate: 160, Outage: Outage{
			From: 10 * time.Second, To: 11200 * time.Millisecond, Upstreams: 3, Cold: 3 * time.Second, ColdPerSecond: 9.7,
			Unnoticed: 2500 * time.Millisecond,
		}},
		{Pattern: "busyHours", Rate: 210, Length: 72 * time.Second, Wave: Wave{Amplitude: 0.55, Period: 36 * time.Second}},
		{Pattern: "manyObjects", Objects: 400},
		{
			Pattern: "manyEntries", Regions: 5, Entries: 25, Upstreams: 10, Slots: 3, QueueLimit: 2, Objects: 120, CacheSize: 12, Rate: 90,
			RetryPercent: 15, RetryBurst: 282, Burst: Burst{From: 20 * time.Second, To: 30 * time.Second, Factor: 1.6},
		},
		evenLoad("evenMany", 94, 261, 34),
		evenLoad("evenFew", 56, 39, 8),
		evenLoad("evenSome", 94, 120, 16),
		{Pattern: "spareMemory", Objects: 40, Upstreams: 24, Entries: 6, Rate: 360},
	}
}

// evenLoad returns the load of one of three services behind 125 entries that
// receive 3 requests per second each, on a calm day. The numbers of upstreams,
// their slots and the skew of the objects are those of a deployment in which
// the busiest upstream received up to 5.98 times the mean.
func evenLoad(name string, upstreams, objects, cacheSize int) Scenario {
	return Scenario{
		Pattern: name, Regions: 1, Upstreams: upstreams, Entries: 125, Objects: objects, Slots: 3, QueueLimit: 3,
		CacheSize: cacheSize, WarmFactor: 1.0 / 3, Rate: 125, Skew: 0.9, ReportAge: time.Second,
		Length: 140 * time.Second, Warmup: 20 * time.Second,
	}
}
