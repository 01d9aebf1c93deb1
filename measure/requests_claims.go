package main

import (
	"encoding/gob"
	"fmt"
	"runtime"
	"time"

	"github.com/juju/errors"
	"zinniapulley.dev/claim"
)

// claimsReport is the cost of one claim.
type claimsReport struct {
	// LoggedBytes is the size of its two commands in the log, as a gob stream
	// without the type definitions.
	LoggedBytes float64 `json:"loggedBytesPerClaim"`
	// MemoryBytes is the size of its record in memory.
	MemoryBytes float64 `json:"memoryBytesPerClaim"`
	// AppliedPerSecond is how many commands one core applies in a second.
	AppliedPerSecond float64 `json:"commandsAppliedPerSecond"`
}

// countingWriter counts bytes.
type countingWriter struct{ bytes int }

// Write implements io.Writer.
func (w *countingWriter) Write(p []byte) (int, error) {
	w.bytes += len(p)
	return len(p), nil
}

// measureClaims applies and encodes the two commands of many claims.
func measureClaims() (claimsReport, error) {
	const claims = 200_000
	commands := claimCommands(claims)
	var report claimsReport
	logged, err := loggedBytes(commands)
	if err != nil {
		return report, err
	}
	report.LoggedBytes = logged / claims
	before := heapBytes()
	table := claim.NewTable(claim.DefaultTableLimits())
	start := time.Now()
	for _, command := range commands {
		table.Apply(command)
	}
	elapsed := time.Since(start)
	report.AppliedPerSecond = float64(len(commands)) / elapsed.Seconds()
	report.MemoryBytes = (heapBytes() - before) / claims
	runtime.KeepAlive(table)
	runtime.KeepAlive(commands)
	return report, nil
}

// claimCommands returns the commands of count claims that run and are answered,
// with keys as long as a UUID.
func claimCommands(count int) []claim.Command {
	at := time.Unix(1_700_000_000, 0).UTC()
	commands := make([]claim.Command, 0, 2*count)
	for n := range count {
		key := claim.Key{Service: 1, Scope: "dealer-0417", Value: fmt.Sprintf("%08x-0000-4000-8000-%012x", n, n)}
		holder := claim.Holder{Companion: "companion-17", BackendServer: 17, Incarnation: uint64(at.UnixNano()), Number: uint64(n)}
		digest := claim.Digest{byte(n), byte(n >> 8), 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28, 29, 30}
		commands = append(commands,
			claim.Command{Kind: claim.ClaimKey, Key: key, Digest: digest, Holder: holder, At: at},
			claim.Command{Kind: claim.FinishRun, Key: key, Holder: holder, AnswerKept: true, At: at})
	}
	return commands
}

func loggedBytes(commands []claim.Command) (float64, error) {
	var written countingWriter
	encoder := gob.NewEncoder(&written)
	err := encoder.Encode(commands[0])
	if err != nil {
		return 0, errors.Trace(err)
	}
	types := written.bytes
	for _, command := range commands {
		err := encoder.Encode(command)
		if err != nil {
			return 0, errors.Trace(err)
		}
	}
	return float64(written.bytes - types), nil
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
