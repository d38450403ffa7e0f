package front

import (
	"bytes"
	"errors"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Tuning are the settings of a node that are the product's own. Their file is
// TOML; an unknown key is an error.
type Tuning struct {
	Resume ResumeTuning `toml:"resume"`
}

// ResumeTuning says how streams are prepared for the loss of their engine.
type ResumeTuning struct {
	// Weight, from 0 to 1, is the weight of resume latency against the resources
	// spent on it: the part of the streams whose run has a copy on a second engine.
	Weight float64 `toml:"weight"`
}

// DefaultTuning is used without a file.
func DefaultTuning() Tuning { return Tuning{Resume: ResumeTuning{Weight: 1}} }

// LoadTuning reads a tuning file; without a path it returns the defaults.
func LoadTuning(path string) (Tuning, error) {
	t := DefaultTuning()
	if path == "" {
		return t, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return t, newError(CodeTuning).Errorf("tuning file: %v", err)
	}
	if err := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(&t); err != nil {
		detail := err.Error()
		var unknown *toml.StrictMissingError
		if errors.As(err, &unknown) {
			detail = "unknown keys:\n" + unknown.String()
		}
		return t, newError(CodeTuning).Errorf("tuning file %s: %s", path, detail)
	}
	if w := t.Resume.Weight; !(w >= 0 && w <= 1) {
		return t, newError(CodeTuning).Errorf("tuning file %s: resume.weight is %v, want 0 to 1", path, w)
	}
	return t, nil
}

// Tune takes over tuning that was read.
func (n *Node) Tune(t Tuning) { n.gateway.ResumeWeight.Store(t.Resume.Weight) }
