package main

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/platform/standin"
)

// reportInterval is the interval of the reports of a server in the store.
const reportInterval = 1200 * time.Millisecond

// registration is a server's row in the store, which it writes again and again.
type registration struct {
	w  *world
	id string

	mu    sync.Mutex
	entry standin.Entry // guarded by mu
	ended bool          // guarded by mu
}

func (w *world) register(id, service, address, zone string, slots int) *registration {
	r := &registration{w: w, id: id, entry: standin.Entry{
		Service: service, Address: address, Zone: zone, Version: "v1", Slots: slots, Phase: "ready", Born: time.Now().UnixMilli(),
	}}
	r.report("ready")
	go func() {
		for {
			time.Sleep(reportInterval)
			r.mu.Lock()
			phase, ended := r.entry.Phase, r.ended
			r.mu.Unlock()
			if ended {
				return
			}
			r.report(phase)
		}
	}()
	return r
}

// report writes the row, and returns the time after the store has accepted it.
func (r *registration) report(phase string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return time.Now()
	}
	r.entry.Phase = phase
	r.entry.Sequence++
	raw, err := json.Marshal(r.entry)
	if err != nil {
		panic(err) // the type always encodes
	}
	r.w.store.Put("servers", r.id, raw)
	return time.Now()
}

// remove removes the row. silence is the time after which it lapses.
func (r *registration) remove(silence time.Duration) {
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	time.AfterFunc(silence, func() { r.w.store.Remove("servers", r.id) })
}

// removeNow removes the row, and returns the time after the store has done it.
func (r *registration) removeNow() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	r.w.store.Remove("servers", r.id)
	return time.Now()
}
