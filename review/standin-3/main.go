// Command review3 runs the cases of the third review that are scripts: it starts the
// project's programs as separate processes on loopback addresses, acts as their platform,
// callers, backend servers and operator, and judges what these have seen.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// cases maps the names of the cases to what runs them. trouble is false for the run without
// the disruption.
var cases = map[string]func(root string, r *record, trouble bool) int{
	"cold-return":    coldReturn,
	"late-departure": lateDeparture,
	"late-order":     lateOrder,
	"leaving-server": leavingServer,
	"version-zero":   versionZero,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE ROOT FOLDER")
		os.Exit(notRun)
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	r, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.say("case %s, with the disruption: %t", os.Args[1], trouble)
	code := cases[os.Args[1]](root, r, trouble)
	r.say("%s", map[int]string{held: "the rule held", broken: "THE RULE IS BROKEN", notRun: "the case could not run"}[code])
	r.close()
	os.Exit(code)
}
