package api_test

import (
	"encoding/json"
	"testing"

	"github.com/yuccahatch/yuccahatch/api/callerapi"
)

// OpenAI clients parse the error body, so a change to its fields would break
// them.
func TestErrorBodyShape(t *testing.T) {
	body := callerapi.Error{Error: callerapi.ErrorDetail{
		Message: "model \"m\" is not served",
		Type:    "invalid_request_error",
		Code:    callerapi.CodeUnknownModel,
		Outcome: callerapi.OutcomeNotRun,
	}}
	got, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	want := `{"error":{"message":"model \"m\" is not served","type":"invalid_request_error","code":"unknown_model","param":null,"outcome":"not_run"}}`
	if string(got) != want {
		t.Errorf("error body\n got %s\nwant %s", got, want)
	}
}
