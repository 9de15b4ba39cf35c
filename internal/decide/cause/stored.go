package cause

import "time"

// codes are the numbers of the causes in stored records. A number is never used for another
// cause, since records of other versions are read.
var codes = [count]int64{
	Accept: 1, EarlierTerm: 2, PlannerChange: 3, StoreUnavailable: 4, NotDue: 5,
	Plan: 6, NoCapacity: 7, Fragmented: 8, Reserved: 9, Kept: 10, Closed: 11, Freeing: 12,
	Lease: 13, Persist: 14, Start: 15, Run: 16,
	Preempted: 17, Moved: 18, WorkerLost: 19, RunFailed: 20, StartFailed: 21, Record: 22, Evacuated: 23,
}

// Encode returns the time by cause as pairs of a cause's number and whole milliseconds.
// Causes with less than a millisecond, or without a number, are left out.
func (s *Spent) Encode() []int64 {
	var pairs []int64
	for c, d := range s {
		if ms := d.Milliseconds(); ms > 0 && codes[c] != 0 {
			pairs = append(pairs, codes[c], ms)
		}
	}
	return pairs
}

// Decode returns the time by cause that Encode encoded. Numbers of causes that this version
// doesn't know, and negative times, are left out.
func Decode(pairs []int64) Spent {
	const most = int64(1<<63-1) / int64(time.Millisecond)
	var s Spent
	for i := 0; i+1 < len(pairs); i += 2 {
		for c, n := range codes {
			if n == pairs[i] && n != 0 && pairs[i+1] > 0 && pairs[i+1] < most {
				s[c] += time.Duration(pairs[i+1]) * time.Millisecond
			}
		}
	}
	return s
}

// Total returns the time of all causes.
func (s *Spent) Total() time.Duration {
	total := time.Duration(0)
	for _, d := range s {
		total += d
	}
	return total
}

// Fill charges the difference between a total and the time of all causes to one cause. If
// the causes have more than the total, since a clock jumped, their shares are kept.
func (s *Spent) Fill(c Cause, total time.Duration) {
	total = max(total, 0)
	if sum := s.Total(); sum > total {
		share := float64(total) / float64(sum)
		for k := range s {
			s[k] = time.Duration(float64(s[k]) * share)
		}
	}
	s[c] += total - s.Total()
}
