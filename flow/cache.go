package flow

import (
	"zinniapulley.dev/core"
)

// Cache remembers for some flows at which backend server they live, so that an
// entry instance sends their packets straight there. It is a shortcut only: a
// packet that is sent astray by it still visits the whole chain, and the cache
// may be emptied at any moment. Each traffic goroutine has its own.
//
// It keeps two generations. The young one takes what is learned or used; once
// it is full it becomes the old one, and what was in the old one is forgotten.
type Cache struct {
	size       int
	young, old map[core.FlowKey]core.BackendServerID
}

// NewCache returns an empty cache that holds at most the given number of flows.
func NewCache(flows int) *Cache {
	return &Cache{size: max(1, flows/2), young: make(map[core.FlowKey]core.BackendServerID)}
}

// Learn remembers where a flow lives.
func (c *Cache) Learn(key core.FlowKey, server core.BackendServerID) {
	_, known := c.young[key]
	if !known && len(c.young) >= c.size {
		c.old = c.young
		c.young = make(map[core.FlowKey]core.BackendServerID)
	}
	c.young[key] = server
}

// Lookup returns where a flow lives, and false if the cache doesn't know it.
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

// Remove drops what the cache knows of a flow, for example at its SYN.
func (c *Cache) Remove(key core.FlowKey) {
	delete(c.young, key)
	delete(c.old, key)
}

// Clear empties the cache.
func (c *Cache) Clear() {
	clear(c.young)
	c.old = nil
}

// Len returns how many flows the cache holds, some perhaps twice.
func (c *Cache) Len() int {
	return len(c.young) + len(c.old)
}

// Prefer returns the hops with the given server moved to the front, written
// into the buffer. Where the server is none of them they stay as they are.
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
