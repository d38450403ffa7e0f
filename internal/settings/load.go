package settings

import (
	"bytes"
	"errors"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/yuccahatch/yuccahatch/internal/tomlkeys"
)

// Load reads, decodes and validates the settings file at path.
func Load(path string) (*Settings, error) {
	doc, err := os.ReadFile(path)
	if err != nil {
		return nil, newError(CodeUnreadable).Wrapf(err, "read settings")
	}
	return Parse(path, doc)
}

// Parse decodes and validates a settings document. name is the file name that its
// errors report.
func Parse(name string, doc []byte) (*Settings, error) {
	s := defaults()
	decoder := toml.NewDecoder(bytes.NewReader(doc)).DisallowUnknownFields()
	problems := decodeProblems(doc, decoder.Decode(s))
	if len(problems) == 0 {
		problems = check(s, tomlkeys.Locate(doc))
	}
	if len(problems) == 0 {
		return s, nil
	}
	slices.SortStableFunc(problems, func(a, b Problem) int { return a.Line - b.Line })
	for i := range problems {
		problems[i].File = name
	}
	return nil, newError(CodeInvalid).Wrap(problems)
}

// decodeProblems converts an error of the TOML library to problems.
func decodeProblems(doc []byte, err error) Problems {
	var unknownKeys *toml.StrictMissingError
	var decodeError *toml.DecodeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &unknownKeys):
		var problems Problems
		for _, e := range unknownKeys.Errors {
			line, _ := e.Position()
			key := strings.Join(e.Key(), ".")
			problems = append(problems, Problem{Line: line, Key: key, Found: "an unknown key", Allowed: siblingKeys(key)})
		}
		return problems
	case errors.As(err, &decodeError):
		return Problems{decodeProblem(doc, decodeError)}
	}
	if problems := unquotedProblems(doc); len(problems) > 0 {
		return problems
	}
	return Problems{{Found: err.Error(), Allowed: "a TOML document"}}
}

// unquotedProblems returns a problem for each key that requires a string but has a
// number or another unquoted value. The TOML library passes such a value to the
// encoding.TextUnmarshaler of the field and returns the error of UnmarshalText
// without a position.
func unquotedProblems(doc []byte) Problems {
	var problems Problems
	for name, at := range tomlkeys.Locate(doc) {
		for _, k := range Reference() {
			if k.quoted && k.Name == withoutIndexes(name) && !strings.HasPrefix(at.Text, `"`) && !strings.HasPrefix(at.Text, "'") {
				problems = append(problems, Problem{Line: at.Line, Key: name, Found: at.Text, Allowed: k.Allowed})
			}
		}
	}
	return problems
}

func decodeProblem(doc []byte, e *toml.DecodeError) Problem {
	line, column := e.Position()
	key := strings.Join(e.Key(), ".")
	problem := Problem{Line: line, Key: key, Found: lineText(doc, line), Allowed: "valid TOML"}
	if at, ok := valueAt(tomlkeys.Locate(doc), line, column); ok {
		problem.Found = at.Text
	}
	for _, k := range Reference() {
		if k.Name == key {
			problem.Allowed = k.Allowed
			return problem
		}
	}
	if key != "" {
		problem.Allowed = siblingKeys(key)
	}
	problem.Found += " (" + strings.TrimPrefix(e.Error(), "toml: ") + ")"
	return problem
}

func lineText(doc []byte, line int) string {
	lines := strings.Split(string(doc), "\n")
	if line < 1 || line > len(lines) {
		return "nothing"
	}
	return strings.TrimSpace(lines[line-1])
}

// siblingKeys describes the keys that are allowed in the section of key or, if that
// section is unknown, in the closest enclosing one.
func siblingKeys(key string) string {
	section := key[:strings.LastIndexByte(key, '.')+1]
	var names []string
	for _, k := range Reference() {
		rest, ok := strings.CutPrefix(k.Name, section)
		if !ok {
			continue
		}
		name, _, _ := strings.Cut(rest, ".")
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return siblingKeys(strings.TrimSuffix(section, "."))
	}
	return "one of the keys " + strings.Join(names, ", ")
}
