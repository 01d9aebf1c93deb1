package publish_test

import "flag"

// A fixed seed makes the property tests draw the same cases in each run, unless
// the command line sets another one.
func init() {
	err := flag.Set("rapid.seed", "20260101")
	if err != nil {
		panic(err)
	}
}
