package store_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/matryer/is"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/platform/store"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/faults"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/platform"
)

func serve(t *testing.T) (*platform.Platform, *store.Client) {
	p := &platform.Platform{}
	e := echo.New()
	p.Register(e)
	s := httptest.NewServer(e)
	t.Cleanup(s.Close)
	return p, &store.Client{BaseURL: s.URL, Meter: &meter.Meter{}, HTTP: &http.Client{}}
}

func TestConcurrentReadsShareACall(t *testing.T) {
	is := is.New(t)
	p, c := serve(t)
	_, err := c.Put(context.Background(), "k", []byte("v"), 0)
	is.NoErr(err)
	p.Faults.Replace(faults.Orders{DelayMS: 200})
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(func() {
			e, found, err := c.Get(context.Background(), "k")
			is.NoErr(err)
			is.True(found)
			is.Equal(string(e.Value), "v")
		})
	}
	wg.Wait()
	is.True(p.Meter.Count("get") <= 3) // the first, one shared by reads during the first, and one for a late read
}

func TestWriteWithLostAnswerIsUnresolved(t *testing.T) {
	is := is.New(t)
	p, c := serve(t)
	p.Faults.Replace(faults.Orders{DropAnswers: 1})
	_, err := c.Put(context.Background(), "k", []byte("v"), 0)
	is.True(fault.Is(err, fault.ClaimUnresolved))
	_, found, err := c.Get(context.Background(), "k")
	is.NoErr(err)
	is.True(found)
}

func TestListPage(t *testing.T) {
	is := is.New(t)
	_, c := serve(t)
	for _, key := range []string{"claims/a", "claims/b", "claims/c", "other"} {
		_, err := c.Put(context.Background(), key, nil, 0)
		is.NoErr(err)
	}
	first, more, err := c.ListPage(context.Background(), "claims/", "", 2)
	is.NoErr(err)
	is.True(more)
	rest, more, err := c.ListPage(context.Background(), "claims/", first[1].Key, 2)
	is.NoErr(err)
	is.True(!more)
	is.Equal(rest[0].Key, "claims/c")
}

func TestBudgetLimitsTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := store.Budget{Rate: 10, Burst: 5}
		start := time.Now()
		for range 25 {
			_, ok := b.Acquire(context.Background())
			is.True(ok)
		}
		is.Equal(time.Since(start).Round(time.Millisecond), 2*time.Second) // 5 at once, 20 at 10 a second
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		for range 100 {
			_, ok := b.Acquire(ctx)
			is.True(!ok)
		}
		time.Sleep(200 * time.Millisecond)
		waited, ok := b.Acquire(context.Background())
		is.True(ok && !waited) // the refused calls returned their tokens
	})
}
