// Package journal keeps the durable state of a control instance in files
// under one data folder: a log of checksummed records and snapshots. What
// it has synced survives a crash at any point.
package journal
