package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/dogwoodworks/dogwoodworks/internal/standin/relay"
	"github.com/dogwoodworks/dogwoodworks/internal/standin/world"
)

// randomFault returns the name of a random fault and a function that injects the
// fault and heals it.
func (f *fleet) randomFault(rng *rand.Rand) (string, func()) {
	v := f.vms[rng.IntN(len(f.vms))]
	id := fmt.Sprintf("w%d", rng.IntN(workers))
	d := time.Duration(500+rng.IntN(4000)) * time.Millisecond
	lossFaults := world.Faults{Lose: 0.4 * rng.Float64(), Late: 0.3 * rng.Float64()}
	modes := []relay.Mode{relay.Refuse, relay.Blackhole, relay.DropResponses}
	mode := modes[rng.IntN(len(modes))]
	shift := 1 + rng.IntN(vms)
	type namedFault struct {
		name   string
		inject func()
	}
	all := []namedFault{
		{"kill " + v.name, func() { f.killAndRestart(v, d) }},
		{"planned stop " + v.name, func() { f.stopAndRestart(v) }},
		{"planned stops in turn", func() {
			for _, v := range f.vms {
				f.stopAndRestart(v)
			}
		}},
		{"kill all", func() {
			for _, v := range f.vms {
				go f.killAndRestart(v, d)
			}
			time.Sleep(d + time.Second)
		}},
		{"pause " + v.name, func() { f.pause(v, d) }},
		{"kill while paused " + v.name, func() { f.killWhilePaused(v, d) }},
		{"settings " + v.name, func() { f.changeSettings(v, shift) }},
		{fmt.Sprintf("store cut %s %d", v.name, mode), func() { f.cutLink(v.store, mode, d) }},
		{"store slow " + v.name, func() { f.slowLink(v.store, d) }},
		{"store connections unresponsive " + v.name, v.store.FreezeOpen},
		{"store down", func() { f.takeStoreDown(d) }},
		{"store paused", func() { f.pauseStore(d) }},
		{"store answers lost", func() { f.loseCalls("store", lossFaults, d) }},
		{"store history compacted", func() { f.world.Store.Compact() }},
		{fmt.Sprintf("worker cut %s %d", id, mode), func() { f.cutLink(f.relays[id], mode, d) }},
		{"worker slow to answer " + id, func() { f.slowLink(f.relays[id], d) }},
		{"worker connections unresponsive " + id, f.relays[id].FreezeOpen},
		{"worker crash " + id, func() { f.crashWorker(id, d) }},
		{"worker fails all runs " + id, func() { f.failRuns(id, d) }},
		{"worker calls lost and delayed " + id, func() { f.loseCalls(id, lossFaults, d) }},
		{"configurations", func() {
			for range 3 {
				f.configure()
				time.Sleep(200 * time.Millisecond)
			}
		}},
	}
	x := all[rng.IntN(len(all))]
	return x.name, x.inject
}

// killAndRestart kills a VM's process and starts it again after d.
func (f *fleet) killAndRestart(v *vm, d time.Duration) {
	v.signals.Lock()
	defer v.signals.Unlock()
	f.kill(v)
	time.Sleep(d)
	f.start(v)
}

func (f *fleet) stopAndRestart(v *vm) {
	v.signals.Lock()
	defer v.signals.Unlock()
	f.stop(v)
	f.start(v)
}

func (f *fleet) pause(v *vm, d time.Duration) {
	v.signals.Lock()
	defer v.signals.Unlock()
	f.signal(v, syscall.SIGSTOP)
	time.Sleep(d)
	f.signal(v, syscall.SIGCONT)
}

func (f *fleet) killWhilePaused(v *vm, d time.Duration) {
	v.signals.Lock()
	defer v.signals.Unlock()
	f.signal(v, syscall.SIGSTOP)
	time.Sleep(d)
	f.kill(v)
	f.start(v)
}

// changeSettings changes a VM's settings twice: once with SIGHUP and once without.
func (f *fleet) changeSettings(v *vm, shift int) {
	v.signals.Lock()
	defer v.signals.Unlock()
	f.writeSettings(v, shift)
	f.signal(v, syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond)
	f.writeSettings(v, shift+1)
}

func (f *fleet) cutLink(r *relay.Relay, mode relay.Mode, d time.Duration) {
	r.SetAll(mode)
	time.Sleep(d)
	r.SetAll(relay.Pass)
}

// slowLinkDelay is added to each direction of a slow link.
const slowLinkDelay = 120 * time.Millisecond

func (f *fleet) slowLink(r *relay.Relay, d time.Duration) {
	r.Delay(slowLinkDelay)
	time.Sleep(d)
	r.Delay(0)
}

func (f *fleet) takeStoreDown(d time.Duration) {
	f.world.Store.SetDown(true)
	time.Sleep(d)
	f.world.Store.SetDown(false)
}

func (f *fleet) pauseStore(d time.Duration) {
	f.world.Store.Pause()
	time.Sleep(d)
	f.world.Store.Unpause()
}

func (f *fleet) loseCalls(to string, faults world.Faults, d time.Duration) {
	f.wire.Link(to).Set(faults)
	time.Sleep(d)
	f.wire.Link(to).Set(world.Faults{})
}

// minRestartTime is the shortest time that a machine needs to restart.
const minRestartTime = 150 * time.Millisecond

func (f *fleet) crashWorker(id string, d time.Duration) {
	f.world.Crash(id)
	time.Sleep(max(d, minRestartTime))
	f.world.Restart(id)
	if err := f.wire.Register(id, f.relays[id].Address()); err != nil {
		f.t.Error(err)
	}
}

func (f *fleet) failRuns(id string, d time.Duration) {
	f.world.SetFailing(id, true)
	time.Sleep(d)
	f.world.SetFailing(id, false)
}

// heal ends outages that faults may have left and waits until all VMs are ready.
func (f *fleet) heal() {
	f.world.Store.SetDown(false)
	for _, r := range f.relays {
		r.SetAll(relay.Pass)
	}
	for _, v := range f.vms {
		v.store.SetAll(relay.Pass)
		f.awaitReady(v)
	}
}
