// Package standin holds stand-ins for the system's environment in tests,
// measurements and the demonstration: the fabric, callers and backend servers.
package standin
