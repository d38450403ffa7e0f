package labcmd

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/yuccahatch/yuccahatch/api/backendapi"
	"github.com/yuccahatch/yuccahatch/lab/caller"
	"github.com/yuccahatch/yuccahatch/lab/engine"
	"github.com/yuccahatch/yuccahatch/lab/pipenet"
)

// Guards against an engine and a caller that disagree about the generated text, and
// against a command that reports success although the request failed.
func TestDirectCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := engine.DefaultConfig()
		cfg.Models = []backendapi.LoadedModel{{Model: "m", Version: "1"}}
		e, err := engine.New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		go e.Run(t.Context())
		network := pipenet.New()
		defer network.Serve("engine:1", e.Handler())()
		callerConfig := caller.DefaultConfig()
		callerConfig.Client = network.Client()
		defer callerConfig.Client.CloseIdleConnections()
		for model, want := range map[string]bool{"m": true, "unknown": false} {
			cmd := callCommand(callerConfig)
			var out bytes.Buffer
			cmd.SetOut(&out)
			cmd.SetErr(&bytes.Buffer{})
			cmd.SetArgs([]string{"--direct", "--node", "engine:1", "--model", model, "--prompt", "hello length=20"})
			err := cmd.ExecuteContext(t.Context())
			var result caller.Result
			if json.Unmarshal(out.Bytes(), &result) != nil || (err == nil) != want {
				t.Fatalf("model %s: error %v, output %s", model, err, out.String())
			}
			if want && (result.Counts != caller.Counts{Tokens: 20} || !result.Complete) {
				t.Errorf("result %+v", result)
			}
		}
	})
}

// Guards against commands without help texts. The manual refers to them.
func TestHelpIsComplete(t *testing.T) {
	for _, sub := range Command().Commands() {
		if sub.Short == "" || sub.Long == "" || !strings.Contains(sub.Example, "yuccahatch lab "+sub.Name()) {
			t.Errorf("lab %s lacks help or an example", sub.Name())
		}
	}
}

// Guards against --model values that are parsed wrongly or accepted without a name.
func TestParseModels(t *testing.T) {
	got, err := parseModels([]string{"a", "b@2+x+y"})
	want := []backendapi.LoadedModel{{Model: "a", Version: "1", Adapters: []string{}}, {Model: "b", Version: "2", Adapters: []string{"x", "y"}}}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v", got, err)
	}
	if _, err := parseModels([]string{"@2"}); err == nil {
		t.Error("model without a name accepted")
	}
}
