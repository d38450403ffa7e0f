package objects

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/yuccahatch/yuccahatch/api/platformapi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakePlatform is a fake of both stores. It stores objects under their escaped path.
func fakePlatform(objects map[string][]byte) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		path := r.URL.EscapedPath()
		switch {
		case path == platformapi.RouteWeights:
			w.Header().Set("Retry-After", "7")
			w.WriteHeader(http.StatusTooManyRequests)
		case path == platformapi.RouteObjects+"outage":
			w.WriteHeader(http.StatusServiceUnavailable)
		case path == platformapi.RouteObjects+"cut":
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("part"))
		case r.Method == http.MethodPut:
			objects[path] = body
		case objects[path] == nil:
			w.WriteHeader(http.StatusNotFound)
		default:
			_, _ = w.Write(objects[path])
		}
	})
}

// Guards against object names that are changed by URL escaping, and against failures
// whose code does not show whether the call may have taken effect.
func TestClient(t *testing.T) {
	objects := map[string][]byte{}
	server := httptest.NewServer(fakePlatform(objects))
	defer server.Close()
	c := NewClient(server.URL, 10*time.Second)
	defer c.Close()
	const name = "explain/2026-01-01/a b%?#"
	if err := c.Put(t.Context(), name, []byte("content")); err != nil {
		t.Fatal(err)
	}
	if got, err := c.Get(t.Context(), name); err != nil || string(got) != "content" {
		t.Fatalf("get returned %q, %v", got, err)
	}
	if objects["/objects/explain/2026-01-01/a%20b%25%3F%23"] == nil {
		t.Fatalf("stored names: %v", objects)
	}
	closed := NewClient("http://127.0.0.1:1", time.Second)
	failures := map[string]struct {
		client *Client
		name   string
		want   Code
	}{
		"absent": {c, "absent", CodeNotFound}, "outage": {c, "outage", CodeUnavailable}, "truncated": {c, "cut", CodeUnknown},
		"parent": {c, "a/../b", CodeRejected}, "empty": {c, "", CodeRejected}, "closed port": {closed, "a", CodeUnavailable},
	}
	for what, f := range failures {
		if _, err := f.client.Get(t.Context(), f.name); CodeOf(err) != f.want {
			t.Errorf("%s: %v, want code %s", what, err, f.want)
		}
	}
	if err := c.AcquirePermit(t.Context(), platformapi.WeightFetch{}); CodeOf(err) != CodeRateLimited || RetryAfter(err) != 7*time.Second {
		t.Errorf("rate limit: %v, wait %v", err, RetryAfter(err))
	}
}
