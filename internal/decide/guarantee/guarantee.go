// Package guarantee carves a concrete block of accelerators for each client
// account's guaranteed shape. A block is a set of aligned buddy blocks, as in
// the buddy system of Knowlton, "A fast storage allocator" (CACM 1965).
package guarantee

import (
	"math/bits"
	"sort"
)

// Worker is one worker in fleet order: racks one after the other, and the
// workers of a rack side by side.
type Worker struct {
	// Rack numbers the racks from 0 in fleet order.
	Rack int
	// Accelerators is 0 for a worker that takes no work.
	Accelerators int
}

// Shape is a guaranteed shape and the pieces that back it now.
type Shape struct {
	Workers      int
	Accelerators int
	// Current holds the pieces of the present block.
	Current []Piece
}

// Piece is a run of adjacent accelerators of one worker.
type Piece struct {
	// Worker is the index of the worker in fleet order.
	Worker int
	// Mask has one bit for each accelerator.
	Mask uint64
}

// Block backs one shape. Pieces of different blocks never overlap.
type Block struct {
	Pieces []Piece
	// Shortfall is the number of guaranteed accelerators without a piece.
	Shortfall int
}

// AllowedFunc returns the accelerators of a worker that may be carved for a shape.
type AllowedFunc func(worker, shape int) uint64

// Allocate returns one block for each shape. Pieces that still stand are kept,
// unless a carving from nothing leaves a smaller sum of shortfalls.
func Allocate(workers []Worker, shapes []Shape, allow AllowedFunc) []Block {
	kept := carve(workers, shapes, allow, true)
	if sum(kept) == 0 {
		return kept
	}
	if fresh := carve(workers, shapes, allow, false); sum(fresh) < sum(kept) {
		return fresh
	}
	return kept
}

func sum(blocks []Block) int {
	n := 0
	for _, b := range blocks {
		n += b.Shortfall
	}
	return n
}

type carver struct {
	workers []Worker
	shapes  []Shape
	allow   AllowedFunc
	taken   []uint64
	blocks  []Block
}

func carve(workers []Worker, shapes []Shape, allow AllowedFunc, keep bool) []Block {
	c := &carver{workers: workers, shapes: shapes, allow: allow}
	c.taken = make([]uint64, len(workers))
	c.blocks = make([]Block, len(shapes))
	order := make([]int, len(shapes))
	for i := range shapes {
		order[i] = i
		if keep {
			c.keep(i)
		}
	}
	sort.SliceStable(order, func(a, b int) bool { return c.missing(order[a]) > c.missing(order[b]) })
	for _, i := range order {
		c.fill(i)
		c.blocks[i].Shortfall = c.missing(i)
	}
	return c.blocks
}

func (c *carver) missing(shape int) int {
	sh := c.shapes[shape]
	return (sh.Workers - len(c.blocks[shape].Pieces)) * sh.Accelerators
}

func (c *carver) keep(shape int) {
	sh := c.shapes[shape]
	for _, p := range sh.Current {
		fits := p.Worker < len(c.workers) && bits.OnesCount64(p.Mask) == sh.Accelerators
		if fits && len(c.blocks[shape].Pieces) < sh.Workers && c.open(p.Worker, shape)&p.Mask == p.Mask {
			c.take(shape, p)
		}
	}
}

func (c *carver) take(shape int, p Piece) {
	c.taken[p.Worker] |= p.Mask
	c.blocks[shape].Pieces = append(c.blocks[shape].Pieces, p)
}

func (c *carver) open(worker, shape int) uint64 {
	return LowMask(c.workers[worker].Accelerators) & c.allow(worker, shape) &^ c.taken[worker]
}

// fill adds the missing pieces: side by side when there is room, one by one
// otherwise.
func (c *carver) fill(shape int) {
	sh := c.shapes[shape]
	n := sh.Workers - len(c.blocks[shape].Pieces)
	if n <= 0 || sh.Accelerators <= 0 {
		return
	}
	pieces := c.run(shape, n)
	if pieces == nil {
		pieces = c.scattered(shape, n)
	}
	for _, p := range pieces {
		c.take(shape, p)
	}
}

// run returns n pieces on neighbouring workers. A run crosses into the next
// rack only when no rack holds it; among the runs the one that begins at the
// best aligned worker wins.
func (c *carver) run(shape, n int) []Piece {
	align := 1 << bits.Len(uint(n-1))
	var best []Piece
	for _, cross := range []bool{false, true} {
		start := 0
		for i := range c.workers {
			if i > 0 && c.workers[i].Rack != c.workers[i-1].Rack {
				start = i
			}
			aligned := (i-start)%align == 0
			if best != nil && !aligned {
				continue
			}
			if got := c.from(shape, i, n, cross); got != nil {
				best = got
				if aligned {
					return best
				}
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

func (c *carver) from(shape, first, n int, cross bool) []Piece {
	if first+n > len(c.workers) {
		return nil
	}
	pieces := make([]Piece, 0, n)
	for i := first; i < first+n; i++ {
		if !cross && c.workers[i].Rack != c.workers[first].Rack {
			return nil
		}
		m := AlignedRange(c.open(i, shape), c.shapes[shape].Accelerators)
		if m == 0 {
			return nil
		}
		pieces = append(pieces, Piece{Worker: i, Mask: m})
	}
	return pieces
}

func (c *carver) scattered(shape, n int) []Piece {
	var pieces []Piece
	for i := range c.workers {
		if len(pieces) == n {
			break
		}
		if m := AlignedRange(c.open(i, shape), c.shapes[shape].Accelerators); m != 0 {
			pieces = append(pieces, Piece{Worker: i, Mask: m})
		}
	}
	return pieces
}

// LowMask returns a mask of n accelerators, 0 to 64.
func LowMask(n int) uint64 {
	if n <= 0 {
		return 0
	}
	return ^uint64(0) >> (64 - n)
}

// Alignment returns the smallest power of two that is at least n; n is positive.
func Alignment(n int) int { return 1 << bits.Len(uint(n-1)) }

// AlignedRange returns n adjacent accelerators of open that begin at a multiple of
// Align(n), or 0. Among them it takes the run inside the smallest aligned
// block of open, so that whole blocks stay whole.
func AlignedRange(open uint64, n int) uint64 {
	step := Alignment(n)
	best, bestSize := uint64(0), 65
	for off := 0; off+n <= 64; off += step {
		m := LowMask(n) << off
		if open&m != m {
			continue
		}
		if size := enclosing(open, off, step); size < bestSize {
			best, bestSize = m, size
		}
	}
	return best
}

// enclosing returns the size of the largest aligned block of open around the
// block of size accelerators at off.
func enclosing(open uint64, off, size int) int {
	for size < 64 {
		next := size * 2
		m := LowMask(next) << (off / next * next)
		if open&m != m {
			break
		}
		size = next
	}
	return size
}
