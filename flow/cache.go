package flow

import (
	"zinniapulley.dev/core"
)

// Cache records which backend server holds a flow, for some flows, so that an
// entry instance sends their packets straight there. It is only a hint: a packet
// sent to the wrong companion still visits the whole chain, and the cache may be
// cleared at any time. Each traffic goroutine has its own.
//
// It has two generations. Flows that are learned or looked up go into the young
// one. When that is full it becomes the old one, and the former old one is evicted.
type Cache struct {
	size       int
	young, old map[core.FlowKey]core.BackendServerID
}

// NewCache returns an empty cache that holds at most the given number of flows.
func NewCache(flows int) *Cache {
	return &Cache{size: max(1, flows/2), young: make(map[core.FlowKey]core.BackendServerID)}
}

// Learn records which backend server holds a flow.
func (c *Cache) Learn(key core.FlowKey, server core.BackendServerID) {
	_, known := c.young[key]
	if !known && len(c.young) >= c.size {
		c.old = c.young
		c.young = make(map[core.FlowKey]core.BackendServerID)
	}
	c.young[key] = server
}

// Lookup returns the backend server that holds a flow, and false if the flow
// isn't cached.
func (c *Cache) Lookup(key core.FlowKey) (core.BackendServerID, bool) {
	server, known := c.young[key]
	if known {
		return server, true
	}
	server, known = c.old[key]
	if known {
		c.Learn(key, server)
	}
	return server, known
}

// Remove deletes a flow from the cache, for example at its SYN.
func (c *Cache) Remove(key core.FlowKey) {
	delete(c.young, key)
	delete(c.old, key)
}

// Clear empties the cache.
func (c *Cache) Clear() {
	clear(c.young)
	c.old = nil
}

// Len returns the number of cached flows. A flow in both generations counts twice.
func (c *Cache) Len() int {
	return len(c.young) + len(c.old)
}

// Prefer returns the hops with the given server moved to the front, written
// into the buffer. If the server is not among them, it returns them unchanged.
func Prefer(hops []Hop, server core.BackendServerID, buffer []Hop) []Hop {
	at := -1
	for i, hop := range hops {
		if hop.BackendServer == server {
			at = i
		}
	}
	if at <= 0 {
		return hops
	}
	buffer = append(buffer[:0], hops[at])
	buffer = append(buffer, hops[:at]...)
	return append(buffer, hops[at+1:]...)
}
