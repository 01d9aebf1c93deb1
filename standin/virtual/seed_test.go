package virtual_test

import "flag"

// A fixed seed makes the property tests draw the same cases in each run. A seed on
// the command line takes precedence.
func init() {
	err := flag.Set("rapid.seed", "20260101")
	if err != nil {
		panic(err)
	}
}
