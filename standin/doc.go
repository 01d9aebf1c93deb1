// Package standin holds small stand-ins for what surrounds the system in tests,
// measurements and the demonstration: the fabric, callers and backend servers.
package standin
