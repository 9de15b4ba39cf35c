package planner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/decide/cause"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/model"
)

// TestRecordOfManyTasksFits guards against jobs that are accepted and whose record outgrows the
// store's limit in their worst state: all tasks were lost twice and are placed again.
func TestRecordOfManyTasksFits(t *testing.T) {
	for _, limit := range []int{1 << 18, 1 << 20, 4 << 20} {
		tasks := limit / recordBytesPerTask
		if !RecordFits(tasks, 0, limit) || RecordFits(tasks+1, 0, limit) {
			t.Fatalf("%d tasks are not the most for %d bytes", tasks, limit)
		}
		is := is.New(t)
		rng := rand.New(rand.NewPCG(1, uint64(tasks)))
		began := time.Now().Add(-time.Minute)
		j := &job{id: "5c0e7a21d94b36f8", spec: &Spec{Job: model.Job{Steps: []model.Step{{Tasks: tasks}}}}, units: make(map[unitKey]*unit)}
		j.createUnits(1)
		worker := func() (id string, born int64, address string) {
			n := rng.IntN(350)
			return fmt.Sprintf("i-7f3a%04x", n*131), 1764960000000 + int64(n)*977, fmt.Sprintf("10.128.%d.%d:8080", n/250, n%250)
		}
		for _, u := range j.unitList {
			u.run = 3
			// The time by cause is left out before the record outgrows the value.
			u.stops, u.failures, u.failedWork = rng.IntN(5), 1, time.Duration(rng.Int64N(60e9))
			u.ledger.Begin(cause.Plan, began)
			u.ledger.Switch(cause.NoCapacity, began.Add(time.Duration(rng.Int64N(60e9))))
			for k := range 2 {
				id, born, address := worker()
				u.losses = append(u.losses, LossRecord{Index: u.key.index, Run: int64(k + 1), Worker: id, Incarnation: born, Address: address, Rack: "r1-3", Crashed: true, Ran: 3e9})
			}
			id, born, address := worker()
			u.members = []*member{{unit: u, index: u.key.index, run: 3, worker: id, incarnation: born, address: address, token: 4456448}}
		}
		b := j.encodeRecord(limit)
		t.Logf("%d tasks: %d bytes, %d without compression", tasks, len(b), len(j.encodeRecord(0)))
		is.True(len(b) <= limit)
		r, err := DecodeRunRecord(b)
		is.NoErr(err)
		is.Equal(len(r.Units), tasks)
	}
}

// TestRecordOfManyOccurrencesFits guards against the same for the tasks of earlier occurrences,
// which are done.
func TestRecordOfManyOccurrencesFits(t *testing.T) {
	is := is.New(t)
	const limit, occurrences = 1 << 20, 10_000
	tasks := 1
	for RecordFits(tasks+1, occurrences, limit) {
		tasks++
	}
	j := &job{id: "5c0e7a21d94b36f8", spec: &Spec{Job: model.Job{Occurrences: occurrences, Steps: []model.Step{{Tasks: tasks}}}}, units: make(map[unitKey]*unit)}
	j.createUnits(occurrences)
	for i, u := range j.unitList {
		u.run, u.done = 1+int64(i*i%3), true
	}
	b := j.encodeRecord(limit)
	t.Logf("%d occurrences of %d tasks: %d bytes", occurrences, tasks, len(b))
	is.True(len(b) <= limit)
}
