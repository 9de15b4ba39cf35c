// Package guarantee allocates a concrete block of accelerators for the
// guaranteed shape of each client account. A block is a set of aligned buddy
// blocks, as in the buddy system of Knowlton, "A fast storage allocator"
// (CACM 1965).
package guarantee

import (
	"math/bits"
	"sort"
)

// Worker is one worker. Workers are listed in fleet order: rack by rack, and
// within a rack in the order in which they are adjacent.
type Worker struct {
	// Rack numbers the racks from 0 in fleet order.
	Rack int
	// Accelerators is the number of accelerators, at most 64, and 0 for a worker
	// that accepts no work.
	Accelerators int
}

// Shape is a guaranteed shape: Workers workers with Accelerators adjacent
// accelerators each.
type Shape struct {
	Workers      int
	Accelerators int
	// Current holds the pieces that back the shape now.
	Current []Piece
}

// Piece is a range of adjacent accelerators of one worker.
type Piece struct {
	// Worker is the index of the worker in fleet order.
	Worker int
	// Mask has one bit set for each accelerator of the piece.
	Mask uint64
}

// Block is the set of accelerators that backs one shape. Pieces of different
// blocks never overlap.
type Block struct {
	Pieces []Piece
	// Shortfall is the number of guaranteed accelerators that no piece backs.
	Shortfall int
}

// AllowedFunc returns the mask of the accelerators of a worker that may be
// allocated to a shape.
type AllowedFunc func(worker, shape int) uint64

// Allocate returns one block for each shape. Current pieces that are still
// valid are kept, unless an allocation from scratch has a smaller total
// shortfall.
func Allocate(workers []Worker, shapes []Shape, allow AllowedFunc) []Block {
	kept := allocate(workers, shapes, allow, true)
	if totalShortfall(kept) == 0 {
		return kept
	}
	if scratch := allocate(workers, shapes, allow, false); totalShortfall(scratch) < totalShortfall(kept) {
		return scratch
	}
	return kept
}

// totalShortfall returns the number of guaranteed accelerators that no block
// backs.
func totalShortfall(blocks []Block) int {
	n := 0
	for _, b := range blocks {
		n += b.Shortfall
	}
	return n
}

// allocator is one allocation of blocks to shapes.
type allocator struct {
	workers []Worker
	shapes  []Shape
	allow   AllowedFunc
	// allocated holds the mask of allocated accelerators of each worker.
	allocated []uint64
	blocks    []Block
}

// allocate fills the shapes, the one with the most missing accelerators first.
// With keepCurrent set it first retains the valid pieces of the current blocks.
func allocate(workers []Worker, shapes []Shape, allow AllowedFunc, keepCurrent bool) []Block {
	a := &allocator{workers: workers, shapes: shapes, allow: allow}
	a.allocated = make([]uint64, len(workers))
	a.blocks = make([]Block, len(shapes))
	order := make([]int, len(shapes))
	for i := range shapes {
		order[i] = i
		if keepCurrent {
			a.keepCurrent(i)
		}
	}
	sort.SliceStable(order, func(j, k int) bool { return a.missing(order[j]) > a.missing(order[k]) })
	for _, i := range order {
		a.fill(i)
		a.blocks[i].Shortfall = a.missing(i)
	}
	return a.blocks
}

// missing returns the number of guaranteed accelerators of a shape that have no
// piece yet.
func (a *allocator) missing(shape int) int {
	sh := a.shapes[shape]
	return (sh.Workers - len(a.blocks[shape].Pieces)) * sh.Accelerators
}

// keepCurrent allocates the pieces of the current block that are still valid.
func (a *allocator) keepCurrent(shape int) {
	sh := a.shapes[shape]
	for _, p := range sh.Current {
		fits := p.Worker < len(a.workers) && bits.OnesCount64(p.Mask) == sh.Accelerators
		if fits && len(a.blocks[shape].Pieces) < sh.Workers && a.available(p.Worker, shape)&p.Mask == p.Mask {
			a.assign(shape, p)
		}
	}
}

func (a *allocator) assign(shape int, p Piece) {
	a.allocated[p.Worker] |= p.Mask
	a.blocks[shape].Pieces = append(a.blocks[shape].Pieces, p)
}

// available returns the accelerators of a worker that may still be allocated to
// a shape.
func (a *allocator) available(worker, shape int) uint64 {
	return LowMask(a.workers[worker].Accelerators) & a.allow(worker, shape) &^ a.allocated[worker]
}

// fill adds the missing pieces: on neighbouring workers when they fit there,
// anywhere otherwise.
func (a *allocator) fill(shape int) {
	sh := a.shapes[shape]
	n := sh.Workers - len(a.blocks[shape].Pieces)
	if n <= 0 || sh.Accelerators <= 0 {
		return
	}
	pieces := a.adjacentPieces(shape, n)
	if pieces == nil {
		pieces = a.scatteredPieces(shape, n)
	}
	for _, p := range pieces {
		a.assign(shape, p)
	}
}

// adjacentPieces returns n pieces on neighbouring workers, or nil. They span
// racks only when they fit in no single rack. The first sequence whose offset
// in its rack is a multiple of the smallest power of two that is at least n is
// preferred; without one, the first sequence is used.
func (a *allocator) adjacentPieces(shape, n int) []Piece {
	align := 1 << bits.Len(uint(n-1))
	var best []Piece
	for _, cross := range []bool{false, true} {
		start := 0
		for i := range a.workers {
			if i > 0 && a.workers[i].Rack != a.workers[i-1].Rack {
				start = i
			}
			aligned := (i-start)%align == 0
			if best != nil && !aligned {
				continue
			}
			if pieces := a.piecesFrom(shape, i, n, cross); pieces != nil {
				best = pieces
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

// piecesFrom returns n pieces on neighbouring workers from first on, or nil
// when one of the workers has no aligned range left.
func (a *allocator) piecesFrom(shape, first, n int, cross bool) []Piece {
	if first+n > len(a.workers) {
		return nil
	}
	pieces := make([]Piece, 0, n)
	for i := first; i < first+n; i++ {
		if !cross && a.workers[i].Rack != a.workers[first].Rack {
			return nil
		}
		m := AlignedRange(a.available(i, shape), a.shapes[shape].Accelerators)
		if m == 0 {
			return nil
		}
		pieces = append(pieces, Piece{Worker: i, Mask: m})
	}
	return pieces
}

// scatteredPieces returns up to n pieces, one on each worker, in fleet order.
func (a *allocator) scatteredPieces(shape, n int) []Piece {
	var pieces []Piece
	for i := range a.workers {
		if len(pieces) == n {
			break
		}
		if m := AlignedRange(a.available(i, shape), a.shapes[shape].Accelerators); m != 0 {
			pieces = append(pieces, Piece{Worker: i, Mask: m})
		}
	}
	return pieces
}

// LowMask returns a mask of the n lowest accelerators, 0 for n below 1. n must
// be at most 64.
func LowMask(n int) uint64 {
	if n <= 0 {
		return 0
	}
	return ^uint64(0) >> (64 - n)
}

// Alignment returns the smallest power of two that is at least n. n must be
// positive.
func Alignment(n int) int { return 1 << bits.Len(uint(n-1)) }

// AlignedRange returns the mask of n adjacent accelerators of available that
// begin at a multiple of Alignment(n), or 0 without such a range. It prefers
// the range inside the smallest aligned block of available, to preserve larger
// blocks.
func AlignedRange(available uint64, n int) uint64 {
	step := Alignment(n)
	best, bestSize := uint64(0), 65
	for off := 0; off+n <= 64; off += step {
		m := LowMask(n) << off
		if available&m != m {
			continue
		}
		if size := enclosingBlock(available, off, step); size < bestSize {
			best, bestSize = m, size
		}
	}
	return best
}

// enclosingBlock returns the size of the largest aligned block of available
// that contains the block of size accelerators at off.
func enclosingBlock(available uint64, off, size int) int {
	for size < 64 {
		next := size * 2
		m := LowMask(next) << (off / next * next)
		if available&m != m {
			break
		}
		size = next
	}
	return size
}
