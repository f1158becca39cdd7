// Package seedtest fixes the random seed of property-based tests, so that each run
// has the same result. Flags on the command line override the seed.
package seedtest

import "flag"

// Fix sets the default seed, disables the files in which rapid stores failing cases,
// and parses the command line. TestMain calls it.
func Fix() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
}
