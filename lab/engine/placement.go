package engine

import (
	"slices"
	"time"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
)

// placement holds the models of the engine and applies orders. Models are loaded
// one at a time. The methods take the current time as an argument instead of
// reading the clock. It is not safe for concurrent use.
type placement struct {
	loadTime     time.Duration
	checkFencing bool
	// onUnload is called with the name of each model that is no longer served.
	onUnload func(now time.Time, model string)

	newestFencingToken int64
	lastOrderID        string
	role               string
	models             []backendapi.LoadedModel
	loading            []loadingModel
}

type loadingModel struct {
	model   backendapi.LoadedModel
	readyAt time.Time
}

// order sets the desired placement. It reports whether the order was accepted; if
// checkFencing is set, an order whose fencing token is older than the newest one
// seen is not.
func (p *placement) order(now time.Time, o backendapi.Order) bool {
	p.completeLoads(now)
	if p.checkFencing && o.FencingToken < p.newestFencingToken {
		return false
	}
	p.newestFencingToken = max(p.newestFencingToken, o.FencingToken)
	p.lastOrderID, p.role = o.OrderID, o.Role
	p.unloadUnlisted(now, o.Models)
	ready := now
	for _, l := range p.loading {
		if l.readyAt.After(ready) {
			ready = l.readyAt
		}
	}
	for _, m := range o.Models {
		if p.loadedOrLoading(m) {
			continue
		}
		ready = ready.Add(p.loadTime)
		p.loading = append(p.loading, loadingModel{model: m, readyAt: ready})
	}
	p.completeLoads(now)
	return true
}

// unloadUnlisted removes models that an order no longer lists. A model whose
// version or adapters change is served until its replacement is loaded.
func (p *placement) unloadUnlisted(now time.Time, listed []backendapi.LoadedModel) {
	p.loading = slices.DeleteFunc(p.loading, func(l loadingModel) bool {
		return !slices.ContainsFunc(listed, func(w backendapi.LoadedModel) bool { return sameModel(w, l.model) })
	})
	p.models = slices.DeleteFunc(p.models, func(m backendapi.LoadedModel) bool {
		unlisted := !slices.ContainsFunc(listed, func(w backendapi.LoadedModel) bool { return w.Model == m.Model })
		if unlisted {
			p.onUnload(now, m.Model)
		}
		return unlisted
	})
}

// completeLoads puts into service the models whose load time has passed.
func (p *placement) completeLoads(now time.Time) {
	p.loading = slices.DeleteFunc(p.loading, func(l loadingModel) bool {
		if l.readyAt.After(now) {
			return false
		}
		p.models = slices.DeleteFunc(p.models, func(m backendapi.LoadedModel) bool {
			replaced := m.Model == l.model.Model
			if replaced {
				p.onUnload(now, m.Model)
			}
			return replaced
		})
		p.models = append(p.models, l.model)
		return true
	})
}

func (p *placement) loadedOrLoading(m backendapi.LoadedModel) bool {
	loaded := slices.ContainsFunc(p.models, func(o backendapi.LoadedModel) bool { return sameModel(o, m) })
	return loaded || slices.ContainsFunc(p.loading, func(l loadingModel) bool { return sameModel(l.model, m) })
}

func sameModel(a, b backendapi.LoadedModel) bool {
	return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// servedNames returns the model names that requests may use: each model, and each
// of its adapters as "model:adapter".
func (p *placement) servedNames() []string {
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
		LastOrderID:  p.lastOrderID,
		FencingToken: p.newestFencingToken,
		Role:         p.role,
		Models:       append([]backendapi.LoadedModel{}, p.models...),
		Loading:      []backendapi.LoadedModel{},
	}
	for _, l := range p.loading {
		s.Loading = append(s.Loading, l.model)
	}
	return s
}
