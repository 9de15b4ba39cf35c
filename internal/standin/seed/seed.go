// Package seed sets a fixed seed for property tests, so that CI runs are
// reproducible.
package seed

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// rapidSeed is the seed of the property tests.
const rapidSeed = "5051"

// Main runs the tests of a package with the fixed seed.
func Main(m *testing.M) {
	if err := flag.Set("rapid.seed", rapidSeed); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(m.Run())
}
