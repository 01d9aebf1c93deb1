package consensus

import "flag"

// init sets a fixed default seed, so that the property tests draw the same cases in
// each run. The command line can override it.
func init() {
	err := flag.Set("rapid.seed", "20260101")
	if err != nil {
		panic(err)
	}
}
