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

// Limits of one request.
const (
	maxBody   = 4 << 20  // bytes of a JSON body
	maxObject = 64 << 20 // bytes of an object
)

// Admin routes of the stand-in; a real platform has none of them.
const (
	RouteAdminFaults = "/admin/faults" // GET, PUT Faults, DELETE
	RouteAdminHosts  = "/admin/hosts"  // GET newest list, PUT list, POST StateChange
)

// Config sets up a platform. A limit of 0 means none.
type Config struct {
	WritesPerSecond  float64 // transactions
	ReadsPerSecond   float64 // reads and scans
	WeightsPerSecond float64 // permits of the weight store
	HostListLag      time.Duration
	// HostListFile is TOML or JSON and is re-read when it changes. Empty: none.
	HostListFile string
	// Seed of the random faults.
	Seed uint64
}

// Platform is one platform. Run must be running for HostListFile to be
// re-read.
type Platform struct {
	cfg                    Config
	faults                 *injector
	hosts                  *hostList
	writes, reads, weights *limiter
	fileAtStart            []byte

	mu sync.Mutex
	// table and objects are guarded by mu.
	table   *table
	objects map[string][]byte
}

// New returns a platform with an empty table and the hosts of HostListFile.
func New(cfg Config) (*Platform, error) {
	p := &Platform{
		cfg: cfg, faults: newInjector(cfg.Seed), hosts: &hostList{lag: cfg.HostListLag},
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
	p.fileAtStart = data
	p.hosts.set(time.Now(), list)
	return p, nil
}

// Run follows the host list file until ctx ends.
func (p *Platform) Run(ctx context.Context) {
	if p.cfg.HostListFile == "" {
		<-ctx.Done()
		return
	}
	p.hosts.followFile(ctx, p.cfg.HostListFile, p.fileAtStart)
}

// Handler returns the HTTP routes of the platform.
func (p *Platform) Handler() http.Handler {
	r := mux.NewRouter().SkipClean(true) // object names may contain //
	r.HandleFunc(platformapi.RouteTxn, p.faulty(OpTxn, p.postTxn)).Methods(http.MethodPost)
	r.HandleFunc(platformapi.RouteRead, p.faulty(OpRead, p.postRead)).Methods(http.MethodPost)
	r.HandleFunc(platformapi.RouteScan, p.faulty(OpScan, p.getScan)).Methods(http.MethodGet)
	r.HandleFunc(platformapi.RouteObjects+"{name:.+}", p.faulty(OpObjectPut, p.putObject)).Methods(http.MethodPut)
	r.HandleFunc(platformapi.RouteObjects+"{name:.+}", p.faulty(OpObjectGet, p.getObject)).Methods(http.MethodGet)
	r.HandleFunc(platformapi.RouteHosts, p.faulty(OpHosts, p.getHosts)).Methods(http.MethodGet)
	r.HandleFunc(platformapi.RouteWeights, p.faulty(OpWeights, p.postWeights)).Methods(http.MethodPost)
	p.adminRoutes(r)
	return r
}

// answer is the result of an operation, written after its faults.
type answer struct {
	status int
	header map[string]string
	body   any    // JSON
	raw    []byte // instead of body
}

func refuse(status int, code, message string) answer {
	return answer{status: status, body: platformapi.Error{Code: code, Message: message}}
}

func badRequest(err error) answer {
	return refuse(http.StatusBadRequest, platformapi.CodeBadRequest, err.Error())
}

func ok(body any) answer { return answer{status: http.StatusOK, body: body} }

// faulty wraps an operation with its injected faults.
func (p *Platform) faulty(op string, run func(*http.Request) answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v := p.faults.decide(op)
		pause(r.Context(), v.latency)
		if v.outage {
			write(w, refuse(http.StatusServiceUnavailable, platformapi.CodeUnavailable, "injected outage of "+op))
			return
		}
		if v.callLost {
			panic(http.ErrAbortHandler) // closes the connection without an answer
		}
		a := run(r)
		pause(r.Context(), v.answerLatency)
		if v.answerLost {
			panic(http.ErrAbortHandler)
		}
		write(w, a)
	}
}

func pause(ctx context.Context, d time.Duration) {
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

func write(w http.ResponseWriter, a answer) {
	for k, v := range a.header {
		w.Header().Set(k, v)
	}
	if a.raw != nil {
		w.Header().Set("Content-Type", "application/octet-stream")
		w.WriteHeader(a.status)
		w.Write(a.raw) //nolint:errcheck // the client is gone
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.status)
	json.NewEncoder(w).Encode(a.body) //nolint:errcheck // the client is gone
}

func readJSON(r *http.Request, into any) error {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxBody))
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("body: %w", err)
	}
	return nil
}

func limited(l *limiter) (answer, bool) {
	if allowed, _ := l.take(time.Now()); !allowed {
		return refuse(http.StatusServiceUnavailable, platformapi.CodeUnavailable,
			fmt.Sprintf("limit of %g operations per second reached", l.perSecond)), true
	}
	return answer{}, false
}

func (p *Platform) postTxn(r *http.Request) answer {
	var txn platformapi.TxnRequest
	if err := readJSON(r, &txn); err != nil {
		return badRequest(err)
	}
	if err := checkTxn(txn); err != nil {
		return badRequest(err)
	}
	if a, over := limited(p.writes); over {
		return a
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	resp := p.table.apply(txn)
	if !resp.Committed {
		return answer{status: http.StatusConflict, body: resp}
	}
	return ok(resp)
}

func (p *Platform) postRead(r *http.Request) answer {
	var req platformapi.ReadRequest
	if err := readJSON(r, &req); err != nil {
		return badRequest(err)
	}
	if a, over := limited(p.reads); over {
		return a
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return ok(p.table.read(req.Keys))
}

func (p *Platform) getScan(r *http.Request) answer {
	query := r.URL.Query()
	limit := maxScan
	if text := query.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return badRequest(fmt.Errorf("limit %q is not a number of at least 1", text))
		}
		limit = min(n, maxScan)
	}
	if a, over := limited(p.reads); over {
		return a
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return ok(p.table.scan(query.Get("prefix"), query.Get("after"), limit))
}

func objectName(r *http.Request) string {
	return strings.TrimPrefix(r.URL.Path, platformapi.RouteObjects)
}

func (p *Platform) putObject(r *http.Request) answer {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxObject+1))
	if err != nil {
		return badRequest(fmt.Errorf("body: %w", err))
	}
	if len(data) > maxObject {
		return badRequest(fmt.Errorf("object is larger than %d bytes", maxObject))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[objectName(r)] = data
	return ok(struct{}{})
}

func (p *Platform) getObject(r *http.Request) answer {
	p.mu.Lock()
	defer p.mu.Unlock()
	name := objectName(r)
	data, found := p.objects[name]
	if !found {
		return refuse(http.StatusNotFound, platformapi.CodeNotFound, fmt.Sprintf("object %q does not exist", name))
	}
	return answer{status: http.StatusOK, raw: append([]byte{}, data...)}
}

func (p *Platform) getHosts(*http.Request) answer { return ok(p.hosts.get(time.Now())) }

func (p *Platform) postWeights(r *http.Request) answer {
	var req platformapi.WeightFetch
	if err := readJSON(r, &req); err != nil {
		return badRequest(err)
	}
	if req.BackendID == "" || req.Model == "" {
		return badRequest(fmt.Errorf("backend_id and model are required"))
	}
	if allowed, wait := p.weights.take(time.Now()); !allowed {
		a := refuse(http.StatusTooManyRequests, platformapi.CodeRateLimited, "limit of weight fetches reached")
		a.header = map[string]string{"Retry-After": strconv.Itoa(int(math.Ceil(wait.Seconds())))}
		return a
	}
	return ok(struct{}{})
}
