package engine

import (
	"slices"
	"time"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
)

// placement holds the models of the engine and carries out orders. Models load
// one after the other. It has no clock: now is an argument.
type placement struct {
	loadTime     time.Duration
	checkFencing bool
	// onDrop is called with the name of each model that is no longer served.
	onDrop func(now time.Time, model string)

	newestFencing int64
	lastOrder     string
	role          string
	models        []backendapi.LoadedModel
	loading       []loadingModel
}

type loadingModel struct {
	model backendapi.LoadedModel
	ready time.Time
}

// order sets the desired placement. It returns false when the fencing token is
// older than the newest one seen.
func (p *placement) order(now time.Time, o backendapi.Order) bool {
	p.step(now)
	if p.checkFencing && o.FencingToken < p.newestFencing {
		return false
	}
	p.newestFencing = max(p.newestFencing, o.FencingToken)
	p.lastOrder, p.role = o.OrderID, o.Role
	p.dropUnwanted(now, o.Models)
	ready := now
	for _, l := range p.loading {
		if l.ready.After(ready) {
			ready = l.ready
		}
	}
	for _, m := range o.Models {
		if p.has(m) {
			continue
		}
		ready = ready.Add(p.loadTime)
		p.loading = append(p.loading, loadingModel{model: m, ready: ready})
	}
	p.step(now)
	return true
}

// dropUnwanted removes models that an order no longer names. A model whose
// version or adapters change is served until its replacement is loaded.
func (p *placement) dropUnwanted(now time.Time, wanted []backendapi.LoadedModel) {
	p.loading = slices.DeleteFunc(p.loading, func(l loadingModel) bool {
		return !slices.ContainsFunc(wanted, func(w backendapi.LoadedModel) bool { return same(w, l.model) })
	})
	p.models = slices.DeleteFunc(p.models, func(m backendapi.LoadedModel) bool {
		unwanted := !slices.ContainsFunc(wanted, func(w backendapi.LoadedModel) bool { return w.Model == m.Model })
		if unwanted {
			p.onDrop(now, m.Model)
		}
		return unwanted
	})
}

// step completes the loads that are due.
func (p *placement) step(now time.Time) {
	p.loading = slices.DeleteFunc(p.loading, func(l loadingModel) bool {
		if l.ready.After(now) {
			return false
		}
		p.models = slices.DeleteFunc(p.models, func(m backendapi.LoadedModel) bool {
			replaced := m.Model == l.model.Model
			if replaced {
				p.onDrop(now, m.Model)
			}
			return replaced
		})
		p.models = append(p.models, l.model)
		return true
	})
}

func (p *placement) has(m backendapi.LoadedModel) bool {
	loaded := slices.ContainsFunc(p.models, func(o backendapi.LoadedModel) bool { return same(o, m) })
	return loaded || slices.ContainsFunc(p.loading, func(l loadingModel) bool { return same(l.model, m) })
}

func same(a, b backendapi.LoadedModel) bool {
	return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// names returns the names that requests may use: each model, and each of its
// adapters as "model:adapter".
func (p *placement) names() []string {
	names := []string{}
	for _, m := range p.models {
		names = append(names, m.Model)
		for _, a := range m.Adapters {
			names = append(names, m.Model+":"+a)
		}
	}
	return names
}

func (p *placement) state() backendapi.State {
	s := backendapi.State{
		LastOrderID:  p.lastOrder,
		FencingToken: p.newestFencing,
		Role:         p.role,
		Models:       append([]backendapi.LoadedModel{}, p.models...),
		Loading:      []backendapi.LoadedModel{},
	}
	for _, l := range p.loading {
		s.Loading = append(s.Loading, l.model)
	}
	return s
}
