package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/yuccahatch/yuccahatch/api/platformapi"
)

// Size limits of one request.
const (
	maxBodyBytes   = 4 << 20  // JSON body
	maxObjectBytes = 64 << 20 // object
)

// Admin routes of the simulator. A real platform does not have them.
const (
	RouteAdminFaults = "/admin/faults" // GET, PUT Faults, DELETE
	RouteAdminHosts  = "/admin/hosts"  // GET newest list, PUT list, POST StateChange
)

// Config configures a Platform. A rate limit of 0 means no limit.
type Config struct {
	WritesPerSecond  float64 // limit of transactions
	ReadsPerSecond   float64 // limit of reads and scans
	WeightsPerSecond float64 // limit of permits of the weight store
	// HostListLag is the time until a change of the host list becomes visible.
	HostListLag time.Duration
	// HostListFile is the path of the host list, in TOML or JSON. The file is
	// re-read when it changes. If empty, no file is read.
	HostListFile string
	// Seed is the seed of the random faults.
	Seed uint64
}

// Platform is one simulated platform. It is safe for concurrent use. HostListFile
// is re-read only while Run is running.
type Platform struct {
	cfg                    Config
	faults                 *faultInjector
	hosts                  *hostList
	writes, reads, weights *limiter
	initialFile            []byte

	mu sync.Mutex
	// table and objects are guarded by mu.
	table   *table
	objects map[string][]byte
}

// New returns a platform with an empty table and the hosts of HostListFile.
func New(cfg Config) (*Platform, error) {
	p := &Platform{
		cfg: cfg, faults: newFaultInjector(cfg.Seed), hosts: &hostList{lag: cfg.HostListLag},
		writes: newLimiter(cfg.WritesPerSecond), reads: newLimiter(cfg.ReadsPerSecond),
		weights: newLimiter(cfg.WeightsPerSecond),
		table:   newTable(), objects: map[string][]byte{},
	}
	if cfg.HostListFile == "" {
		return p, nil
	}
	data, err := os.ReadFile(cfg.HostListFile)
	if err != nil {
		return nil, fmt.Errorf("host list: %w", err)
	}
	list, err := parseList(cfg.HostListFile, data)
	if err != nil {
		return nil, err
	}
	p.initialFile = data
	p.hosts.set(time.Now(), list)
	return p, nil
}

// Run watches the host list file until ctx is done.
func (p *Platform) Run(ctx context.Context) {
	if p.cfg.HostListFile == "" {
		<-ctx.Done()
		return
	}
	p.hosts.followFile(ctx, p.cfg.HostListFile, p.initialFile)
}

// Handler returns the HTTP routes of the platform.
func (p *Platform) Handler() http.Handler {
	r := mux.NewRouter().SkipClean(true) // object names may contain //
	r.HandleFunc(platformapi.RouteTxn, p.withFaults(OpTxn, p.postTxn)).Methods(http.MethodPost)
	r.HandleFunc(platformapi.RouteRead, p.withFaults(OpRead, p.postRead)).Methods(http.MethodPost)
	r.HandleFunc(platformapi.RouteScan, p.withFaults(OpScan, p.getScan)).Methods(http.MethodGet)
	r.HandleFunc(platformapi.RouteObjects+"{name:.+}", p.withFaults(OpObjectPut, p.putObject)).Methods(http.MethodPut)
	r.HandleFunc(platformapi.RouteObjects+"{name:.+}", p.withFaults(OpObjectGet, p.getObject)).Methods(http.MethodGet)
	r.HandleFunc(platformapi.RouteHosts, p.withFaults(OpHosts, p.getHosts)).Methods(http.MethodGet)
	r.HandleFunc(platformapi.RouteWeights, p.withFaults(OpWeights, p.postWeights)).Methods(http.MethodPost)
	p.adminRoutes(r)
	return r
}

// response is the result of an operation. It is written after the injected faults
// have been applied.
type response struct {
	status int
	header map[string]string
	body   any    // JSON
	raw    []byte // sent instead of body unless nil
}

func errorResponse(status int, code, message string) response {
	return response{status: status, body: platformapi.Error{Code: code, Message: message}}
}

func badRequest(err error) response {
	return errorResponse(http.StatusBadRequest, platformapi.CodeBadRequest, err.Error())
}

func okResponse(body any) response { return response{status: http.StatusOK, body: body} }

// withFaults wraps an operation with the faults injected into it.
func (p *Platform) withFaults(op string, run func(*http.Request) response) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v := p.faults.decide(op)
		sleep(r.Context(), v.latency)
		if v.outage {
			writeResponse(w, errorResponse(http.StatusServiceUnavailable, platformapi.CodeUnavailable, "injected outage of "+op))
			return
		}
		if v.callLost {
			panic(http.ErrAbortHandler) // closes the connection without a response
		}
		a := run(r)
		sleep(r.Context(), v.answerLatency)
		if v.answerLost {
			panic(http.ErrAbortHandler)
		}
		writeResponse(w, a)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func writeResponse(w http.ResponseWriter, a response) {
	for k, v := range a.header {
		w.Header().Set(k, v)
	}
	if a.raw != nil {
		w.Header().Set("Content-Type", "application/octet-stream")
		w.WriteHeader(a.status)
		w.Write(a.raw) //nolint:errcheck // fails only if the client has disconnected
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.status)
	json.NewEncoder(w).Encode(a.body) //nolint:errcheck // fails only if the client has disconnected
}

func readJSON(r *http.Request, into any) error {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("body: %w", err)
	}
	return nil
}

func checkLimit(l *limiter) (response, bool) {
	if allowed, _ := l.take(time.Now()); !allowed {
		return errorResponse(http.StatusServiceUnavailable, platformapi.CodeUnavailable,
			fmt.Sprintf("limit of %g operations per second reached", l.perSecond)), true
	}
	return response{}, false
}

func (p *Platform) postTxn(r *http.Request) response {
	var txn platformapi.TxnRequest
	if err := readJSON(r, &txn); err != nil {
		return badRequest(err)
	}
	if err := checkTxn(txn); err != nil {
		return badRequest(err)
	}
	if a, over := checkLimit(p.writes); over {
		return a
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	resp := p.table.apply(txn)
	if !resp.Committed {
		return response{status: http.StatusConflict, body: resp}
	}
	return okResponse(resp)
}

func (p *Platform) postRead(r *http.Request) response {
	var req platformapi.ReadRequest
	if err := readJSON(r, &req); err != nil {
		return badRequest(err)
	}
	if a, over := checkLimit(p.reads); over {
		return a
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return okResponse(p.table.read(req.Keys))
}

func (p *Platform) getScan(r *http.Request) response {
	query := r.URL.Query()
	limit := maxScanRows
	if text := query.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return badRequest(fmt.Errorf("limit %q is not a number of at least 1", text))
		}
		limit = min(n, maxScanRows)
	}
	if a, over := checkLimit(p.reads); over {
		return a
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return okResponse(p.table.scan(query.Get("prefix"), query.Get("after"), limit))
}

func objectName(r *http.Request) string {
	return strings.TrimPrefix(r.URL.Path, platformapi.RouteObjects)
}

func (p *Platform) putObject(r *http.Request) response {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxObjectBytes+1))
	if err != nil {
		return badRequest(fmt.Errorf("body: %w", err))
	}
	if len(data) > maxObjectBytes {
		return badRequest(fmt.Errorf("object is larger than %d bytes", maxObjectBytes))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[objectName(r)] = data
	return okResponse(struct{}{})
}

func (p *Platform) getObject(r *http.Request) response {
	p.mu.Lock()
	defer p.mu.Unlock()
	name := objectName(r)
	data, found := p.objects[name]
	if !found {
		return errorResponse(http.StatusNotFound, platformapi.CodeNotFound, fmt.Sprintf("object %q does not exist", name))
	}
	return response{status: http.StatusOK, raw: append([]byte{}, data...)}
}

func (p *Platform) getHosts(*http.Request) response { return okResponse(p.hosts.get(time.Now())) }

func (p *Platform) postWeights(r *http.Request) response {
	var req platformapi.WeightFetch
	if err := readJSON(r, &req); err != nil {
		return badRequest(err)
	}
	if req.BackendID == "" || req.Model == "" {
		return badRequest(fmt.Errorf("backend_id and model are required"))
	}
	if allowed, wait := p.weights.take(time.Now()); !allowed {
		a := errorResponse(http.StatusTooManyRequests, platformapi.CodeRateLimited, "limit of weight fetches reached")
		a.header = map[string]string{"Retry-After": strconv.Itoa(int(math.Ceil(wait.Seconds())))}
		return a
	}
	return okResponse(struct{}{})
}
