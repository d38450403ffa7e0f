package platform

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/yuccahatch/yuccahatch/api/platformapi"
)

func (p *Platform) adminRoutes(r *mux.Router) {
	handle := func(method, route string, run func(*http.Request) answer) {
		r.HandleFunc(route, func(w http.ResponseWriter, req *http.Request) { write(w, run(req)) }).Methods(method)
	}
	handle(http.MethodGet, RouteAdminFaults, func(*http.Request) answer { return ok(p.faults.get()) })
	handle(http.MethodPut, RouteAdminFaults, p.putFaults)
	handle(http.MethodPost, RouteAdminFaults, p.putFaults)
	handle(http.MethodDelete, RouteAdminFaults, func(*http.Request) answer {
		p.faults.set(Faults{})
		return ok(struct{}{})
	})
	handle(http.MethodGet, RouteAdminHosts, func(*http.Request) answer {
		// The newest list, whatever the lag.
		return ok(p.hosts.newest())
	})
	handle(http.MethodPut, RouteAdminHosts, p.putHosts)
	handle(http.MethodPost, RouteAdminHosts, p.changeHost)
	handle(http.MethodGet, "/healthz", func(*http.Request) answer { return ok(map[string]string{"status": "ok"}) })
}

func (h *hostList) newest() platformapi.HostList {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.history); n > 0 {
		return emptyList(h.history[n-1].list)
	}
	return emptyList(platformapi.HostList{})
}

func (p *Platform) putFaults(r *http.Request) answer {
	f := Faults{}
	if err := readJSON(r, &f); err != nil {
		return badRequest(err)
	}
	if err := f.check(); err != nil {
		return badRequest(err)
	}
	p.faults.set(f)
	return ok(f)
}

func (p *Platform) putHosts(r *http.Request) answer {
	var list platformapi.HostList
	if err := readJSON(r, &list); err != nil {
		return badRequest(err)
	}
	if err := checkList(list); err != nil {
		return badRequest(err)
	}
	p.hosts.set(time.Now(), list)
	return ok(emptyList(list))
}

func (p *Platform) changeHost(r *http.Request) answer {
	var c StateChange
	if err := readJSON(r, &c); err != nil {
		return badRequest(err)
	}
	if err := p.hosts.change(time.Now(), c); err != nil {
		return badRequest(err)
	}
	return ok(p.hosts.newest())
}
