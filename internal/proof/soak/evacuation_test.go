package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/pause"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/wire"
)

const (
	// dataCentres is the number of data centres among which the workers are distributed.
	dataCentres = 3
	// evacuationTime is the platform's evacuation_ms. It is shorter than there, so that
	// evacuations outlast it often.
	evacuationTime = 3 * time.Second
)

// evacuateRandomly evacuates data centres as the operators do until ctx ends, and then ends
// the evacuations: several at a time, for short or long, some in quick succession, and some
// with keys that name no data centre. The stand-in workers report starts there that are
// later than evacuationTime.
func (f *fleet) evacuateRandomly(ctx context.Context, rng *rand.Rand) {
	set := func(dc string, evacuated bool) {
		f.logEvent("evacuation", "data_centre", dc, "evacuated", evacuated)
		if evacuated {
			f.world.Evacuate(dc, wire.EvacuationPrefix+dc)
			f.check.count("evacuations")
		} else {
			f.world.EndEvacuation(dc, wire.EvacuationPrefix+dc)
		}
	}
	centre := func() string { return string(rune('a' + rng.IntN(dataCentres))) }
	defer func() {
		for i := range dataCentres {
			set(string(rune('a'+i)), false)
		}
	}()
	for ctx.Err() == nil {
		switch dc := centre(); rng.IntN(6) {
		case 0:
			for range 4 {
				set(dc, true)
				pause.For(ctx, time.Duration(rng.IntN(200))*time.Millisecond)
				set(dc, false)
			}
		case 1:
			f.world.Store.Put(wire.EvacuationPrefix+dc+"/x", []byte("{"))
		case 2, 3:
			set(dc, false)
		default:
			set(dc, true)
		}
		pause.For(ctx, time.Duration(500+rng.IntN(4000))*time.Millisecond)
	}
}
