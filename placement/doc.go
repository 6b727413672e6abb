// Package placement chooses the upstream for each attempt of one service by
// the object that the request concerns.
//
// Model: an upstream works faster on an object that it has handled lately, and
// remembers few objects. Each entry instance therefore ranks the upstreams for
// an object by the same hash, so that all entries use the same few upstreams
// for it without exchanging messages, and a change of the upstreams moves only
// the objects of those that came or went. The first Copies upstreams of the
// ranking share the object; the next Reach ones take what these have no room
// for. Work that finds no room there is refused: spread further, it would make
// objects cold everywhere, and cold objects need more room.
//
// The region comes first: a region keeps the share of its objects that its
// slots carry, and the others go by hash to regions with room. The plan follows
// from the upstreams and from the traffic of all regions, as the leader
// publishes it, so that regions whose busy hours differ share their room. It
// changes slowly, unless a region loses much of its room.
//
// Invariants: no work goes to an upstream that is drained, draining or
// leaving; no work leaves the home regions of its request; a cold upstream
// gets no more requests a second from all entries together than it tolerates.
package placement
