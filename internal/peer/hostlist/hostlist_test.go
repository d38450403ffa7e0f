package hostlist

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/yuccahatch/yuccahatch/api/platformapi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const validList = `{"hosts":[{"host_id":"n1","address":"127.0.0.1:1","caller_address":"127.0.0.1:2","data_centre":"a","state":"live"}],
"backends":[{"backend_id":"e1","url":"http://127.0.0.1:3","data_centre":"a","kind":"engine","state":"leaving"}]}`

// Guards against a corrupt or truncated list being accepted as a valid list from
// which hosts were removed.
func TestFetch(t *testing.T) {
	tests := map[string]struct {
		status int
		body   string
		want   Code
	}{
		"valid":             {200, validList, ""},
		"outage":            {503, `{"code":"unavailable"}`, CodeUnavailable},
		"wrong route":       {404, `{"code":"not_found"}`, CodeRejected},
		"truncated":         {200, validList[:100], CodeInvalid},
		"host name":         {200, strings.Replace(validList, "127.0.0.1:1", "n1:1", 1), CodeInvalid},
		"unknown state":     {200, strings.Replace(validList, "live", "gone", 1), CodeInvalid},
		"no host id":        {200, strings.Replace(validList, "n1", "", 1), CodeInvalid},
		"unknown kind":      {200, strings.Replace(validList, "engine", "printer", 1), CodeInvalid},
		"backend host name": {200, strings.Replace(validList, "http://127.0.0.1:3", "http://e1:3", 1), CodeInvalid},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != platformapi.RouteHosts {
					t.Errorf("called %s", r.URL.Path)
				}
				w.WriteHeader(test.status)
				_, _ = w.Write([]byte(test.body))
			}))
			defer server.Close()
			c := NewClient(server.URL, 10*time.Second)
			defer c.Close()
			list, err := c.Fetch(t.Context())
			if CodeOf(err) != test.want || (err == nil) != (test.want == "") {
				t.Fatalf("fetch returned %v, want code %q", err, test.want)
			}
			if err == nil && (len(list.Hosts) != 1 || len(list.Backends) != 1) {
				t.Fatalf("fetch returned %+v", list)
			}
		})
	}
	c := NewClient("http://127.0.0.1:1", time.Second)
	if _, err := c.Fetch(t.Context()); CodeOf(err) != CodeUnavailable {
		t.Errorf("closed port: %v", err)
	}
}
