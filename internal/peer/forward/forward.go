// Package forward sends a request whose idempotency key is claimed in another
// data centre to a VM of that data centre.
package forward

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/control/dispatch"
	"github.com/dogwoodworks/dogwoodworks/internal/core/fault"
	"github.com/dogwoodworks/dogwoodworks/internal/core/meter"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1"
	"github.com/dogwoodworks/dogwoodworks/internal/peer/peerv1/peerv1connect"
)

// Requests serves requests on this VM.
type Requests interface {
	Do(ctx context.Context, r dispatch.Request) (dispatch.Answer, error)
}

// Peers finds the VMs of a data centre.
type Peers interface {
	// VMsIn returns the live VMs of a data centre whose planned stop has not
	// begun.
	VMsIn(dataCentre string) []*peerv1.Vm
	Client(address string) peerv1connect.PeerServiceClient
}

// Router serves requests on this VM or forwards them to their home data centre.
// Its fields must be set before use.
type Router struct {
	Self *peerv1.Vm
	// Local serves the requests that are not forwarded.
	Local Requests
	// Home returns the data centre that claims a request's key. It is empty
	// when the request needs no claim or has no home data centre.
	Home func(r dispatch.Request) string
	// Listed reports whether this VM is in its data centre's roster.
	Listed func() bool
	Peers  Peers
	Meter  *meter.Meter
}

// Do serves a request or forwards it. The kind of its error tells whether the
// request may have run.
func (f *Router) Do(ctx context.Context, r dispatch.Request) (dispatch.Answer, error) {
	home := f.Home(r)
	if home == "" || (home == f.Self.GetDataCentre() && f.Listed()) {
		return f.Local.Do(ctx, r)
	}
	r.Home = home
	peers := f.Peers.VMsIn(home)
	if len(peers) == 0 {
		return dispatch.Answer{}, fault.New(fault.HomeUnreachable, "no VM of %s is reachable", home)
	}
	return f.sendToAny(ctx, r, peers)
}

// sendToAny sends the request to the VMs of the home data centre one after the
// other. Sending it to a second VM is safe because the home data centre claims
// its key.
func (f *Router) sendToAny(ctx context.Context, r dispatch.Request, peers []*peerv1.Vm) (dispatch.Answer, error) {
	mayHaveRun := false
	var last error
	for i, vm := range peers {
		a, sent, err := f.sendTo(ctx, r, vm, len(peers)-i)
		if err == nil {
			return a, nil
		}
		last = err
		row := fault.Lookup(fault.KindOf(err))
		mayHaveRun = mayHaveRun || sent
		if row.Outcome == fault.Unknown && !sent || !row.Retryable && !sent {
			return dispatch.Answer{}, err
		}
		f.Meter.Inc("forward_retry_" + string(fault.KindOf(err)))
		if ctx.Err() != nil {
			break
		}
	}
	if mayHaveRun && fault.Lookup(fault.KindOf(last)).Outcome == fault.NotRun {
		return dispatch.Answer{}, fault.Wrap(fault.AnswerLost, last, "a VM of %s may have run the request", r.Home)
	}
	return dispatch.Answer{}, last
}

// sendTo sends the request to one VM. It returns sent when the call failed but
// may have had an effect.
func (f *Router) sendTo(ctx context.Context, r dispatch.Request, vm *peerv1.Vm, remaining int) (a dispatch.Answer, sent bool, err error) {
	deadline, ok := ctx.Deadline()
	if !r.Deadline.IsZero() && (!ok || r.Deadline.Before(deadline)) {
		deadline, ok = r.Deadline, true
	}
	if ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Until(deadline)/time.Duration(remaining))
		defer cancel()
	}
	var headersWritten atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { headersWritten.Store(true) }})
	f.Meter.Inc("forward_sent")
	resp, err := f.Peers.Client(vm.GetPeerAddress()).ForwardRequest(ctx, f.forwardMessage(r))
	if err != nil {
		if headersWritten.Load() {
			return a, true, fault.Wrap(fault.AnswerLost, err, "VM %s", vm.GetVmId())
		}
		return a, false, fault.Wrap(fault.HomeUnreachable, err, "VM %s", vm.GetVmId())
	}
	if kind := fault.Kind(resp.GetKind()); kind != fault.OK {
		return a, false, fault.New(kind, "%s", resp.GetMessage())
	}
	return dispatch.Answer{
		RequestID: r.ID, Payload: resp.GetPayload(), Runner: resp.GetRunner(),
		Attempts: int(resp.GetAttempts()), Recorded: resp.GetRecorded(),
	}, false, nil
}

func (f *Router) forwardMessage(r dispatch.Request) *peerv1.ForwardRequestRequest {
	in := &peerv1.ForwardRequestRequest{
		RequestId: r.ID, ClientAccount: r.Account, Kind: r.Kind, IdempotencyKey: r.Key, Home: r.Home,
		Payload: r.Payload, Path: []string{f.Self.GetVmId()},
	}
	if !r.Deadline.IsZero() {
		in.DeadlineUnixMs = r.Deadline.UnixMilli()
	}
	return in
}

// Serve serves a request that another VM forwarded. It is not forwarded again.
func (f *Router) Serve(ctx context.Context, in *peerv1.ForwardRequestRequest) *peerv1.ForwardRequestResponse {
	r := dispatch.Request{
		ID: in.GetRequestId(), Account: in.GetClientAccount(), Kind: in.GetKind(), Key: in.GetIdempotencyKey(),
		Home: in.GetHome(), Payload: in.GetPayload(),
	}
	if in.GetDeadlineUnixMs() != 0 {
		r.Deadline = time.UnixMilli(in.GetDeadlineUnixMs())
	}
	f.Meter.Inc("forward_served")
	a, err := f.Local.Do(ctx, r)
	resp := &peerv1.ForwardRequestResponse{
		Kind: string(fault.KindOf(err)), Payload: a.Payload, Runner: a.Runner,
		Attempts: int32(min(a.Attempts, maxReportedAttempts)), Recorded: a.Recorded,
	}
	if err != nil {
		resp.Message = err.Error()
	}
	return resp
}

// maxReportedAttempts bounds the attempts in a response, which holds them as int32.
const maxReportedAttempts = 1 << 20
