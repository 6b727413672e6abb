// Package placement chooses the upstream for each attempt of one service by
// the object that the request concerns.
//
// Model: an upstream handles an object faster if it has handled it recently,
// and it caches few objects. Each entry instance therefore ranks the upstreams
// for an object by rendezvous hashing with the same hash function: all entries
// use the same few upstreams for an object without exchanging messages, and a
// change of the set of upstreams moves only the objects of those added or
// removed. The first Copies upstreams of the ranking share the object; the next
// Reach ones take the overflow. Requests beyond that are refused: spreading
// them further would make objects cold everywhere, and cold objects need more
// capacity.
//
// If the leader publishes the demand of frequent objects, each of these gets as
// many upstreams of its ranking as its demand needs, such that no upstream is
// planned to get much more than the mean. An entry uses them in turn, in an
// order of its own, and avoids those that are busier than the next ones.
//
// The region is chosen first. A region keeps the share of its objects that its
// slots can carry; the others are distributed by hash to regions with spare
// capacity. The leader computes this plan from the upstreams and the traffic of
// all regions, so that regions whose busy hours differ share their capacity.
// The plan changes slowly unless a region loses much of its capacity.
//
// Invariants: no request goes to an upstream that is drained, draining or
// leaving; no request leaves its home regions; a cold upstream gets no more
// requests per second from all entries together than it tolerates.
package placement
