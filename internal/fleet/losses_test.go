package fleet

import "testing"

// Guards against taking a server that is silent for a while for one whose process is
// gone, and against missing that it is gone after it was silent.
func TestSilentServerIsNotGone(t *testing.T) {
	f := testFleet(2)
	s := f.Server("a0")
	goneCount := s.GoneCount()
	f.RecordLoss(at(0), "a0", LossSilent)
	if s.GoneSince(goneCount) || f.isUsableID("a0", at(10)) {
		t.Error("a silent server must get no new work, and must not count as gone")
	}
	f.RecordEndOfSilence(at(500), s)
	if !f.isUsableID("a0", at(500)) {
		t.Error("server is not used although it has sent data again")
	}
	f.RecordLoss(at(600), "a0", LossSilent)
	if !f.RecordLoss(at(700), "a0", LossRefused) || !s.GoneSince(goneCount) {
		t.Error("a refusal after a silence is not reported")
	}
	f.RecordEndOfSilence(at(800), s)
	if f.isUsableID("a0", at(800)) {
		t.Error("a server that is gone is used")
	}
}
