package member

import "flag"

// A fixed seed makes the result in CI reproducible.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
