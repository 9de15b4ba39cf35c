package slope_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/bench/slope"
)

func TestFit(t *testing.T) {
	is := is.New(t)
	l := slope.Fit([]slope.Point{{Size: 1, Value: 5}, {Size: 2, Value: 7}, {Size: 4, Value: 11}})
	is.Equal(l, slope.Line{Base: 3, PerUnit: 2})
	is.Equal(l.At(10), 23.0)
}

func TestHeapBytesCountsReturnedValue(t *testing.T) {
	is := is.New(t)
	got := slope.HeapBytes(func() any { return make([]byte, 1<<20) })
	is.True(got >= 1<<20)
	is.True(got < 2<<20)
}
