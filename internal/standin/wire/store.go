package wire

import (
	"net/http"
	"strconv"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/fleet/store"
)

func storeItem(i store.Item) object {
	if i.Deleted {
		return object{"key": i.Key, "revision": i.Revision, "deleted": true}
	}
	return object{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created}
}

func storeItems(all []store.Item) []object {
	out := []object{}
	for _, i := range all {
		out = append(out, storeItem(i))
	}
	return out
}

// writeStoreError writes the response for an error of the store and reports whether
// there was one.
func writeStoreError(rw http.ResponseWriter, err error) bool {
	switch {
	case err == nil:
		return false
	case fault.Is(err, fault.NotFound):
		writeJSON(rw, http.StatusNotFound, object{})
	case fault.Is(err, fault.RetryHorizon):
		writeJSON(rw, http.StatusGone, object{})
	default:
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
	return true
}

func (w *Wire) get(rw http.ResponseWriter, r *http.Request) {
	it, found, err := w.view.Get(r.Context(), r.URL.Query().Get("key"))
	if err == nil && !found {
		err = fault.New(fault.NotFound, "no such key")
	}
	if !writeStoreError(rw, err) {
		writeJSON(rw, http.StatusOK, storeItem(it))
	}
}

func (w *Wire) list(rw http.ResponseWriter, r *http.Request) {
	all, at, err := w.view.Range(r.Context(), r.URL.Query().Get("prefix"))
	if writeStoreError(rw, err) {
		return
	}
	after := r.URL.Query().Get("after")
	for len(all) > 0 && all[0].Key <= after {
		all = all[1:]
	}
	page := all[:min(len(all), w.PageSize)]
	for i, n := 0, 0; i < len(page); i++ {
		if n += len(page[i].Value); n > pageBytes && i > 0 {
			page = page[:i]
		}
	}
	writeJSON(rw, http.StatusOK, object{"items": storeItems(page), "has_more": len(page) < len(all), "at": at})
}

// pageBytes bounds the values on a page of a list, in bytes, unless it has one item only.
const pageBytes = 1 << 20

func (w *Wire) watch(rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	events, at, err := w.view.Watch(r.Context(), q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	if !writeStoreError(rw, err) {
		writeJSON(rw, http.StatusOK, object{"events": storeItems(events), "at": at})
	}
}

func (w *Wire) txn(rw http.ResponseWriter, r *http.Request) {
	var b struct {
		Conditions []store.Condition `json:"expected_revision"`
		Puts       []store.Put
		Remove     []string
	}
	if !decodeBody(rw, r, &b) {
		return
	}
	revision, current, err := w.view.Apply(r.Context(), store.Txn{Conditions: b.Conditions, Puts: b.Puts, Removes: b.Remove})
	if fault.Is(err, fault.Conflict) {
		writeJSON(rw, http.StatusPreconditionFailed, object{"items": storeItems(current)})
		return
	}
	if !writeStoreError(rw, err) {
		writeJSON(rw, http.StatusOK, object{"revision": revision})
	}
}

func (w *Wire) grant(rw http.ResponseWriter, r *http.Request) {
	var b struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if !decodeBody(rw, r, &b) {
		return
	}
	lease, ttl, err := w.view.Grant(r.Context(), time.Duration(b.TTLMS)*time.Millisecond)
	if !writeStoreError(rw, err) {
		writeJSON(rw, http.StatusOK, object{"lease": lease, "ttl_ms": ttl.Milliseconds()})
	}
}

func (w *Wire) keepAlive(rw http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if !writeStoreError(rw, w.view.KeepAlive(r.Context(), id)) {
		writeJSON(rw, http.StatusOK, object{"ttl_ms": 1})
	}
}

func (w *Wire) revoke(rw http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if !writeStoreError(rw, w.view.Revoke(r.Context(), id)) {
		writeJSON(rw, http.StatusOK, object{})
	}
}
