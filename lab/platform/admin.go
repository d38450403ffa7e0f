package platform

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/yuccahatch/yuccahatch/api/platformapi"
)

func (p *Platform) adminRoutes(r *mux.Router) {
	handle := func(method, route string, run func(*http.Request) response) {
		r.HandleFunc(route, func(w http.ResponseWriter, req *http.Request) { writeResponse(w, run(req)) }).Methods(method)
	}
	handle(http.MethodGet, RouteAdminFaults, func(*http.Request) response { return okResponse(p.faults.get()) })
	handle(http.MethodPut, RouteAdminFaults, p.putFaults)
	handle(http.MethodPost, RouteAdminFaults, p.putFaults)
	handle(http.MethodDelete, RouteAdminFaults, func(*http.Request) response {
		p.faults.set(Faults{})
		return okResponse(struct{}{})
	})
	handle(http.MethodGet, RouteAdminHosts, func(*http.Request) response {
		// The newest list, regardless of the configured lag.
		return okResponse(p.hosts.newest())
	})
	handle(http.MethodPut, RouteAdminHosts, p.putHosts)
	handle(http.MethodPost, RouteAdminHosts, p.changeHost)
	handle(http.MethodGet, "/healthz", func(*http.Request) response { return okResponse(map[string]string{"status": "ok"}) })
}

func (h *hostList) newest() platformapi.HostList {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.history); n > 0 {
		return withNonNilLists(h.history[n-1].list)
	}
	return withNonNilLists(platformapi.HostList{})
}

func (p *Platform) putFaults(r *http.Request) response {
	f := Faults{}
	if err := readJSON(r, &f); err != nil {
		return badRequest(err)
	}
	if err := f.check(); err != nil {
		return badRequest(err)
	}
	p.faults.set(f)
	return okResponse(f)
}

func (p *Platform) putHosts(r *http.Request) response {
	var list platformapi.HostList
	if err := readJSON(r, &list); err != nil {
		return badRequest(err)
	}
	if err := checkList(list); err != nil {
		return badRequest(err)
	}
	p.hosts.set(time.Now(), list)
	return okResponse(withNonNilLists(list))
}

func (p *Platform) changeHost(r *http.Request) response {
	var c StateChange
	if err := readJSON(r, &c); err != nil {
		return badRequest(err)
	}
	if err := p.hosts.change(time.Now(), c); err != nil {
		return badRequest(err)
	}
	return okResponse(p.hosts.newest())
}
