package gateway

import "testing"

// Guards against taking a server that fails to continue a stream for one that has nothing
// left to send, and the other way round.
func TestResultOfAnswerEnd(t *testing.T) {
	for _, test := range []struct {
		name string
		end  answerEnd
		want result
	}{
		{"new stream with events", answerEnd{resumable: true, delivered: true}, resultEnded},
		{"new stream without events", answerEnd{resumable: true}, resultEnded},
		{"continuation with events", answerEnd{resumable: true, begun: true, delivered: true}, resultEnded},
		{"continuation without events", answerEnd{resumable: true, begun: true}, resultUnconfirmed},
		{"asked to repeat, sends nothing", answerEnd{resumable: true, begun: true, asked: true}, resultFailed},
		{"asked to repeat, repeats only", answerEnd{resumable: true, begun: true, asked: true, confirmed: true}, resultEnded},
		{"asked to repeat, repeats and continues", answerEnd{resumable: true, begun: true, asked: true, confirmed: true, delivered: true}, resultEnded},
		{"confirmed by another host", answerEnd{resumable: true, begun: true, confirmed: true}, resultEnded},
		{"must not run again", answerEnd{begun: true}, resultEnded},
	} {
		if got := test.end.result(); got != test.want {
			t.Errorf("%s: result %d, want %d", test.name, got, test.want)
		}
	}
}
