package front

import (
	"bytes"
	"errors"
	"os"

	"github.com/pelletier/go-toml/v2"
)

// Tuning holds the settings of a node that belong to this product and not to the
// platform. They are read from a TOML file, in which an unknown key is an error.
type Tuning struct {
	Resume ResumeTuning `toml:"resume"`
}

// ResumeTuning configures how streams are prepared for the loss of their engine.
type ResumeTuning struct {
	// Weight, from 0 to 1, is the fraction of streams whose run has a copy on a
	// second engine. It trades the resources spent on copies against resume latency.
	Weight float64 `toml:"weight"`
}

// DefaultTuning returns the tuning that is used without a file.
func DefaultTuning() Tuning { return Tuning{Resume: ResumeTuning{Weight: 1}} }

// LoadTuning reads a tuning file. With an empty path it returns the defaults.
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

// Tune applies the given tuning.
func (n *Node) Tune(t Tuning) { n.gateway.ResumeWeight.Store(t.Resume.Weight) }
