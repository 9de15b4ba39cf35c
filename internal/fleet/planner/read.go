package planner

import (
	"cmp"
	"context"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

const (
	// pageTimeout bounds the reading of one page of records. There is no bound for all
	// pages: their number grows with the number of jobs, and on a slow link so does their
	// time. If the lock is lost meanwhile, the term ends.
	pageTimeout = 8 * time.Second
	// pagePatience is the time after which a page is read again beside readings whose
	// responses have not begun: the store may have lost them. No work is placed meanwhile.
	pagePatience = time.Second
	// transferPatience is the same for a response that has begun.
	transferPatience = 4 * time.Second
	// maxPageReadings bounds the concurrent readings of one page.
	maxPageReadings = 4
)

// readRecords reads the jobs, the run records and the record of the sizes concurrently,
// which is safe because only this term writes run records.
func (t *term) readRecords() (specs []store.Item, jobsRevision int64, runs, sizes []store.Item, err error) {
	var runsErr, sizesErr error
	var wg sync.WaitGroup
	wg.Go(func() { specs, jobsRevision, err = t.readAll(store.JobPrefix) })
	wg.Go(func() { runs, _, runsErr = t.readAll(store.RunPrefix) })
	wg.Go(func() { sizes, _, sizesErr = t.readAll(store.SizesKey) })
	wg.Wait()
	return specs, jobsRevision, runs, sizes, cmp.Or(err, runsErr, sizesErr)
}

// readAll reads all records below a prefix.
func (t *term) readAll(prefix string) ([]store.Item, int64, error) {
	return store.ReadPages(t.ctx, prefix, t.readPage)
}

// pageReading is the result of one reading of a page.
type pageReading struct {
	page store.Page
	err  error
}

// readPage reads a page of records. It reads it again beside readings without a response,
// or whose response takes long, and after failed ones, until pageTimeout.
func (t *term) readPage(ctx context.Context, prefix, after string) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	results, begun := make(chan pageReading, maxPageReadings), make(chan struct{}, 1)
	pending := 0
	start := func() {
		pending++
		trace := &httptrace.ClientTrace{GotFirstResponseByte: func() {
			select {
			case begun <- struct{}{}:
			default:
			}
		}}
		t.loops.Go(func() {
			page, err := t.p.Store.Page(httptrace.WithClientTrace(ctx, trace), prefix, after)
			results <- pageReading{page, err}
		})
	}
	start()
	again := time.NewTimer(pagePatience)
	defer again.Stop()
	for {
		select {
		case r := <-results:
			if r.err == nil {
				return r.page, nil
			}
			pending--
			t.p.Meter.Inc("record_read_retry")
			again.Reset(retryPause)
		case <-begun:
			again.Reset(transferPatience)
		case <-again.C:
			if pending == maxPageReadings {
				continue
			}
			if pending > 0 {
				t.p.Meter.Inc("record_read_repeated")
				t.p.Log.Info("records read again beside a reading without a response", "term", t.revision, "prefix", prefix, "after", after, "readings", pending)
			}
			start()
			again.Reset(pagePatience)
		case <-ctx.Done():
			return store.Page{}, fault.Wrap(fault.StoreUnavailable, ctx.Err(), "read %s after %q", prefix, after)
		}
	}
}
