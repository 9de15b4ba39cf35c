// Package slope fits straight lines to measurements at several sizes, to
// extrapolate the cost at a size that is not measured.
package slope

import (
	"runtime"
	"time"
)

// Point is one measurement.
type Point struct {
	Size  float64
	Value float64
}

// Line is the line Value = Base + PerUnit*Size.
type Line struct {
	Base    float64
	PerUnit float64
}

// Fit returns the line with the least sum of squared errors. It needs at least
// two points of different sizes.
func Fit(points []Point) Line {
	n := float64(len(points))
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		sx += p.Size
		sy += p.Value
		sxx += p.Size * p.Size
		sxy += p.Size * p.Value
	}
	perUnit := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return Line{Base: (sy - perUnit*sx) / n, PerUnit: perUnit}
}

// At returns the line's value at a size.
func (l Line) At(size float64) float64 { return l.Base + l.PerUnit*size }

// HeapBytes returns the bytes that build adds to the live heap. The value that build
// returns is kept alive until the heap is measured.
func HeapBytes(build func() any) float64 {
	before := liveHeap()
	built := build()
	after := liveHeap()
	runtime.KeepAlive(built)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Seconds returns the mean time in seconds of one call of f over n calls.
func Seconds(n int, f func()) float64 {
	start := time.Now()
	for range n {
		f()
	}
	return time.Since(start).Seconds() / float64(n)
}
