package route_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// rapidSeed fixes the schedules of the property tests.
const rapidSeed = "5051"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", rapidSeed); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(m.Run())
}
