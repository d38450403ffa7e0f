package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

const validDocument = `[host]
id = "n1"
data_centre = "a"
[[data_centres]]
name = "a"
region = "pt-centro"
[[data_centres]]
name = "b"
region = "pt-centro"
[listen]
callers = "127.0.0.1:8000"
operators = "127.0.0.1:8001"
nodes = "[::1]:8002"
[platform]
url = "http://127.0.0.1:7000"
[security]
cursor_key_file = "cursor.key"
insecure = true
[copies]
flush_interval = "3ms"
`

// Guards against a default that differs from the documented one, and against a
// value that is ignored.
func TestDefaultsAndValues(t *testing.T) {
	s, err := Parse("node.toml", []byte(validDocument))
	if err != nil {
		t.Fatal(err)
	}
	if s.Copies.FlushInterval.Duration != 3*time.Millisecond || s.Copies.AcknowledgeTimeout.Duration != 200*time.Millisecond ||
		s.Resume.Weight != 0.85 || s.Limits.MaxBodyBytes != 4<<20 || s.Copies.Mode != "acknowledged" ||
		s.Listen.Nodes.Port() != 8002 || s.RegionOf("b") != "pt-centro" || s.TLS() {
		t.Fatalf("unexpected settings: %+v", s)
	}
}

// Each error must give the file, the line, the key, what was found and what is
// allowed.
func TestRefusals(t *testing.T) {
	tests := map[string]struct{ old, new, want string }{
		"unknown key":          {"id = \"n1\"", "id = \"n1\"\nidd = 1", "node.toml:3: host.idd: found an unknown key, allowed is one of the keys id, data_centre"},
		"unknown section":      {"[copies]", "[copiess]", "node.toml:19: copiess: found an unknown key, allowed is one of the keys host, data_centres"},
		"key in array":         {"name = \"b\"", "name = \"b\"\nnom = 1", "node.toml:9: data_centres.nom: found an unknown key, allowed is one of the keys name, region"},
		"text for number":      {"[copies]", "[resume]\nweight = \"high\"\n[copies]", "node.toml:20: resume.weight: found \"high\", allowed is a number from 0 to 1"},
		"number for text":      {"id = \"n1\"", "id = 7", "node.toml:2: host.id: found 7, allowed is 1 to 63 letters"},
		"number for section":   {"[copies]", "[copies]\nmode = {}", "node.toml:20: copies.mode: found a table, allowed is one of acknowledged, behind, off"},
		"host name":            {"127.0.0.1:8000", "localhost:8000", "node.toml:11: listen.callers: found \"localhost:8000\", allowed is an address as IP:port"},
		"address port":         {"127.0.0.1:8000", "127.0.0.1", "node.toml:11: listen.callers: found \"127.0.0.1\", allowed is an address as IP:port"},
		"platform host name":   {"http://127.0.0.1:7000", "http://platform:7000", "node.toml:15: platform.url: found \"http://platform:7000\", allowed is an address as"},
		"bare duration":        {"\"3ms\"", "3", "node.toml:20: copies.flush_interval: found 3, allowed is a duration with a unit"},
		"bool for duration":    {"\"3ms\"", "true", "node.toml:20: copies.flush_interval: found true, allowed is a duration with a unit"},
		"date for duration":    {"\"3ms\"", "1979-05-27", "node.toml:20: copies.flush_interval: found 1979-05-27, allowed is a duration"},
		"text for bool":        {"insecure = true", "insecure = 1", "node.toml:18: security.insecure: found 1, allowed is true or false"},
		"unlisted region":      {"id = \"n1\"", "id = \"n1\"\nnear_regions = [\"x\"]", "node.toml:3: host.near_regions[0]: found \"x\", allowed is a region of"},
		"duration unit":        {"\"3ms\"", "\"3\"", "node.toml:20: copies.flush_interval: found \"3\", allowed is a duration with a unit"},
		"zero duration":        {"\"3ms\"", "\"0\"", "node.toml:20: copies.flush_interval: found \"0\", allowed is a duration with a unit"},
		"long duration":        {"\"3ms\"", "\"3m\"", "node.toml:20: copies.flush_interval: found \"3m\", allowed is a duration with a unit such as \"500ms\" from 100us to 1s"},
		"not a number":         {"[copies]", "[resume]\nweight = nan\n[copies]", "node.toml:20: resume.weight: found nan, allowed is a number from 0 to 1"},
		"integer too large":    {"[copies]", "[copies]\nmemory_limit_mib = 99999999999999999999", "node.toml:20: copies.memory_limit_mib: found 99999999999999999999, allowed is an integer from 1"},
		"unlisted data centre": {"data_centre = \"a\"", "data_centre = \"c\"", "node.toml:3: host.data_centre: found \"c\", allowed is a listed data centre: a, b"},
		"repeated data centre": {"name = \"b\"", "name = \"a\"", "node.toml:8: data_centres[1].name: found \"a\", allowed is a name that occurs once"},
		"missing key":          {"id = \"n1\"", "", "node.toml: host.id: found nothing, allowed is 1 to 63 letters"},
		"missing in array":     {"region = \"pt-centro\"", "", "node.toml: data_centres[0].region: found nothing, allowed is"},
		"plaintext not set":    {"insecure = true", "", "node.toml: security.insecure: found nothing, allowed is true if the TLS files are empty"},
		"one TLS file":         {"insecure = true", "ca_file = \"x\"", "node.toml: security.private_key_file: found nothing, allowed is a file"},
		"bad hash":             {"insecure = true", "insecure = true\noperator_key_hashes = [\"sha256:1\"]", "node.toml:19: security.operator_key_hashes[0]: found \"sha256:1\", allowed is \"sha256:\" with"},
		"bad hash on own line": {"insecure = true", "insecure = true\noperator_key_hashes = [\n  \"sha256:1\",\n]", "node.toml:20: security.operator_key_hashes[0]: found \"sha256:1\", allowed is"},
		"number in array":      {"insecure = true", "insecure = true\noperator_key_hashes = [\"a\", \"b\", \"c\", \"d\", \"e\", \"f\", \"g\", 7]", "node.toml:19: security.operator_key_hashes: found 7, allowed is \"sha256:\" with"},
		"suspect too early":    {"[copies]", "[membership]\nsuspect_after = \"400ms\"\n[copies]", "node.toml:20: membership.suspect_after: found \"400ms\", allowed is above membership.heartbeat_interval 500ms"},
		"repeated key":         {"insecure = true", "insecure = true\ninsecure = true", "node.toml:19: "},
		"syntax":               {"[copies]", "[copies", "node.toml:19: "},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("node.toml", []byte(strings.Replace(validDocument, test.old, test.new, 1)))
			if CodeOf(err) != CodeInvalid || !strings.Contains(err.Error(), test.want) {
				t.Fatalf("got error %v\nwant %s", err, test.want)
			}
		})
	}
	if _, err := Load("does-not-exist.toml"); CodeOf(err) != CodeUnreadable {
		t.Fatalf("missing file: %v", err)
	}
}

// Guards against a docs/settings.md that does not describe the current keys.
func TestDocumentation(t *testing.T) {
	g := goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md"))
	g.Assert(t, "settings", []byte(Markdown()))
}
