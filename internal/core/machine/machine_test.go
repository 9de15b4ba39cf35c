package machine

import (
	"testing"

	"github.com/matryer/is"
)

// TestLimit guards against a process without limits, and against a setting that promises
// more than the machine has.
func TestLimit(t *testing.T) {
	is := is.New(t)
	is.True(Memory() > 1<<20)
	is.True(Descriptors() > 0)
	is.Equal(Limit(0, 7), int64(7))
	is.Equal(Limit(5, 7), int64(5))
	is.Equal(Limit(9, 7), int64(7))
	is.Equal(Limit(9, 0), int64(9))
	is.Equal(Limit(0, 0), int64(0))
}
