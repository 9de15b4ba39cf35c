package wire

import (
	"net/http"
	"strconv"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

func item(i store.Item) object {
	if i.Deleted {
		return object{"key": i.Key, "revision": i.Revision, "deleted": true}
	}
	return object{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created}
}

func items(all []store.Item) []object {
	out := []object{}
	for _, i := range all {
		out = append(out, item(i))
	}
	return out
}

// failed answers an error of the store; it reports whether there was one.
func failed(rw http.ResponseWriter, err error) bool {
	switch {
	case err == nil:
		return false
	case fault.Is(err, fault.NotFound):
		answer(rw, http.StatusNotFound, object{})
	case fault.Is(err, fault.RetryHorizon):
		answer(rw, http.StatusGone, object{})
	default:
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
	return true
}

func (w *Wire) key(rw http.ResponseWriter, r *http.Request) {
	it, found, err := w.view.Get(r.Context(), r.URL.Query().Get("key"))
	if err == nil && !found {
		err = fault.New(fault.NotFound, "no such key")
	}
	if !failed(rw, err) {
		answer(rw, http.StatusOK, item(it))
	}
}

func (w *Wire) list(rw http.ResponseWriter, r *http.Request) {
	all, at, err := w.view.Range(r.Context(), r.URL.Query().Get("prefix"))
	if failed(rw, err) {
		return
	}
	after := r.URL.Query().Get("after")
	for len(all) > 0 && all[0].Key <= after {
		all = all[1:]
	}
	page := all[:min(len(all), w.PageSize)]
	answer(rw, http.StatusOK, object{"items": items(page), "has_more": len(page) < len(all), "at": at})
}

func (w *Wire) watch(rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	events, at, err := w.view.Watch(r.Context(), q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	if !failed(rw, err) {
		answer(rw, http.StatusOK, object{"events": items(events), "at": at})
	}
}

func (w *Wire) txn(rw http.ResponseWriter, r *http.Request) {
	var b struct {
		Conditions []store.Condition `json:"expected_revision"`
		Puts       []store.Put
		Remove     []string
	}
	if !decode(rw, r, &b) {
		return
	}
	revision, current, err := w.view.Apply(r.Context(), store.Txn{Conditions: b.Conditions, Puts: b.Puts, Removes: b.Remove})
	if fault.Is(err, fault.Conflict) {
		answer(rw, http.StatusPreconditionFailed, object{"items": items(current)})
		return
	}
	if !failed(rw, err) {
		answer(rw, http.StatusOK, object{"revision": revision})
	}
}

func (w *Wire) grant(rw http.ResponseWriter, r *http.Request) {
	var b struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if !decode(rw, r, &b) {
		return
	}
	lease, ttl, err := w.view.Grant(r.Context(), time.Duration(b.TTLMS)*time.Millisecond)
	if !failed(rw, err) {
		answer(rw, http.StatusOK, object{"lease": lease, "ttl_ms": ttl.Milliseconds()})
	}
}

func (w *Wire) keep(rw http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if !failed(rw, w.view.KeepAlive(r.Context(), id)) {
		answer(rw, http.StatusOK, object{"ttl_ms": 1})
	}
}

func (w *Wire) end(rw http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if !failed(rw, w.view.Revoke(r.Context(), id)) {
		answer(rw, http.StatusOK, object{})
	}
}
