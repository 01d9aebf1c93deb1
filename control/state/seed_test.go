package state_test

import "flag"

// The property tests draw the same cases in each run, unless the command line
// sets another seed.
func init() {
	err := flag.Set("rapid.seed", "20260101")
	if err != nil {
		panic(err)
	}
}
