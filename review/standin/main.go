// Command review-standin plays the cases of the review: it starts the project's programs
// with the commands of the deploy file and stands in for the targets, the clients, the
// operator and the platform.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseLimit ends a case that takes too long.
const caseLimit = 115 * time.Second

// cases holds the cases by name. Each returns an exit code, and why it could not run.
var cases = map[string]func(d *deployment, trouble bool) (int, error){}

func main() {
	root := flag.String("root", ".", "root of the repository")
	record := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	play, known := cases[flag.Arg(0)]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", flag.Arg(0))
		os.Exit(exitNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	d, err := newDeployment(*root, *record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	code := exitNotRun
	done := make(chan struct{})
	go func() {
		defer close(done)
		code, err = play(d, trouble)
	}()
	select {
	case <-done:
	case <-time.After(caseLimit):
		err = fmt.Errorf("the case took longer than %v", caseLimit)
	}
	verdict := map[int]string{exitHeld: "the rule held", exitBroken: "THE RULE WAS BROKEN", exitNotRun: "the case could not run"}[code]
	if err != nil {
		verdict += ": " + err.Error()
	}
	d.record("%s", verdict)
	d.close()
	fmt.Println(verdict)
	os.Exit(code)
}
