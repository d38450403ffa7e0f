package contract

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	toml "github.com/pelletier/go-toml/v2"

	"github.com/yuccahatch/yuccahatch/internal/ident"
	"github.com/yuccahatch/yuccahatch/internal/tomlkeys"
)

// MaxDocumentBytes is the maximum size of a document in bytes.
const MaxDocumentBytes = 64 << 10

// maxQuietHours is the maximum number of quiet_hours entries. It bounds the
// overlap check, which compares every pair of entries.
const maxQuietHours = 64

// maxNameBytes is the maximum length of a model or service name in bytes.
const maxNameBytes = 128

// teamPattern restricts teams to names that can be used in table keys and URL
// paths.
var teamPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,63}$`)

const allowedTeamSyntax = "1 to 64 lower-case letters, digits, '-', '_' and '.', starting with a letter or digit"

var weekdays = []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

var httpMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// document is the decoded TOML document. Pointers distinguish absent keys from
// zero values.
type document struct {
	Team          *string              `toml:"customer"`
	Keys          []string             `toml:"keys"`
	Priority      *string              `toml:"priority"`
	SharePercent  any                  `toml:"share_percent"`
	Models        []string             `toml:"models"`
	QuietHours    []quietHoursTable    `toml:"quiet_hours"`
	NonIdempotent []nonIdempotentTable `toml:"non_idempotent"`
}

type quietHoursTable struct {
	Days      []string `toml:"days"`
	Start     *string  `toml:"start"`
	End       *string  `toml:"end"`
	TimeZone  *string  `toml:"time_zone"`
	AppliesTo []string `toml:"applies_to"`
}

type nonIdempotentTable struct {
	Service    *string  `toml:"service"`
	Methods    []string `toml:"methods"`
	PathPrefix *string  `toml:"path_prefix"`
}

// Parse decodes and validates a document. Its error is a *DocumentError that
// describes the first error found.
func Parse(text []byte) (*Contract, error) {
	if len(text) > MaxDocumentBytes {
		return nil, &DocumentError{
			Code: CodeTooLarge, Found: fmt.Sprintf("%d bytes", len(text)),
			Allowed: fmt.Sprintf("at most %d bytes", MaxDocumentBytes),
		}
	}
	var doc document
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&doc); err != nil {
		return nil, decodeError(text, err)
	}
	c := checker{locations: tomlkeys.Locate(text)}
	return c.contract(&doc)
}

// TeamOf returns the team that a document names, even if Parse rejects the
// document for another reason. It returns the empty string if the name is absent
// or invalid, or if the document is too large or cannot be decoded.
func TeamOf(text []byte) ident.Team {
	var doc struct {
		Team string `toml:"customer"`
	}
	if len(text) > MaxDocumentBytes || toml.Unmarshal(text, &doc) != nil || !ValidTeam(doc.Team) {
		return ""
	}
	return ident.Team(doc.Team)
}

func decodeError(text []byte, err error) *DocumentError {
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) && len(missing.Errors) > 0 {
		first := &missing.Errors[0]
		line, column := first.Position()
		key := strings.Join(first.Key(), ".")
		return &DocumentError{
			Code: CodeUnknownKey, Line: line, Column: column, Key: key,
			Found: fmt.Sprintf("unknown key %q", key), Allowed: allowedKeys(first.Key()),
		}
	}
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		line, column := syntax.Position()
		return &DocumentError{
			Code: CodeSyntax, Line: line, Column: column, Key: strings.Join(syntax.Key(), "."),
			Found: strconv.Quote(lineText(text, line)) + " (" + syntax.Error() + ")", Allowed: "a valid TOML document with values of the documented types",
		}
	}
	return &DocumentError{Code: CodeSyntax, Found: strconv.Quote(err.Error()), Allowed: "a valid TOML document"}
}

// maxQuotedLineBytes is the maximum number of bytes of a document line that an error
// quotes.
const maxQuotedLineBytes = 80

func lineText(text []byte, line int) string {
	lines := bytes.SplitN(text, []byte("\n"), line+1)
	if line < 1 || line > len(lines) {
		return ""
	}
	found := strings.TrimSpace(string(lines[line-1]))
	if len(found) > maxQuotedLineBytes {
		found = found[:maxQuotedLineBytes]
	}
	return found
}

func allowedKeys(path []string) string {
	if len(path) > 1 {
		switch path[0] {
		case "quiet_hours":
			return "days, start, end, time_zone, applies_to"
		case "non_idempotent":
			return "service, methods, path_prefix"
		}
	}
	return "customer, keys, priority, share_percent, models, quiet_hours, non_idempotent"
}

// checker validates decoded values and adds positions to the errors.
type checker struct {
	locations tomlkeys.Locations
}

func (c *checker) badValue(key, found, allowed string) *DocumentError {
	at := c.locations.Enclosing(key)
	return &DocumentError{Code: CodeBadValue, Line: at.Line, Column: at.Column, Key: key, Found: found, Allowed: allowed}
}

func (c *checker) missingKey(key, allowed string) *DocumentError {
	err := c.badValue(key, "nothing", allowed)
	err.Code = CodeMissingKey
	return err
}

func (c *checker) contract(doc *document) (*Contract, error) {
	out := &Contract{Priority: PriorityNormal}
	steps := []func(*document, *Contract) *DocumentError{
		c.team, c.keys, c.priority, c.share, c.models, c.quietHours, c.nonIdempotent,
	}
	for _, step := range steps {
		if err := step(doc, out); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func (c *checker) team(doc *document, out *Contract) *DocumentError {
	switch {
	case doc.Team == nil:
		return c.missingKey("customer", allowedTeamSyntax)
	case !ValidTeam(*doc.Team):
		return c.badValue("customer", strconv.Quote(*doc.Team), allowedTeamSyntax)
	}
	out.Team = ident.Team(*doc.Team)
	return nil
}

// ValidTeam reports whether a name may be the team of a contract.
func ValidTeam(name string) bool { return teamPattern.MatchString(name) }

func (c *checker) keys(doc *document, out *Contract) *DocumentError {
	const allowed = `"sha256:" and 64 lower-case hexadecimal digits, each hash once`
	for i, text := range doc.Keys {
		key := fmt.Sprintf("keys[%d]", i)
		hash, ok := parseKeyHash(text)
		if !ok || slices.Contains(out.keys, hash) {
			return c.badValue(key, strconv.Quote(text), allowed)
		}
		out.keys = append(out.keys, hash)
	}
	return nil
}

func parseKeyHash(text string) (hash KeyHash, ok bool) {
	digits, ok := strings.CutPrefix(text, keyHashPrefix)
	if !ok || len(digits) != hex.EncodedLen(len(hash)) || strings.ToLower(digits) != digits {
		return hash, false
	}
	_, err := hex.Decode(hash[:], []byte(digits))
	return hash, err == nil
}

func (c *checker) priority(doc *document, out *Contract) *DocumentError {
	if doc.Priority == nil {
		return nil
	}
	switch p := Priority(*doc.Priority); p {
	case PriorityLow, PriorityNormal, PriorityHigh:
		out.Priority = p
		return nil
	}
	return c.badValue("priority", strconv.Quote(*doc.Priority), `"low", "normal" or "high"`)
}

func (c *checker) share(doc *document, out *Contract) *DocumentError {
	const key, allowed = "share_percent", "a number above 0 and at most 100"
	switch v := doc.SharePercent.(type) {
	case nil:
		return c.missingKey(key, allowed)
	case int64:
		out.SharePercent = float64(v)
	case float64:
		out.SharePercent = v
	default:
		return c.badValue(key, fmt.Sprintf("%v", v), allowed)
	}
	// The negated form also rejects NaN.
	if !(out.SharePercent > 0 && out.SharePercent <= 100) {
		return c.badValue(key, fmt.Sprintf("%v", doc.SharePercent), allowed)
	}
	return nil
}

func (c *checker) models(doc *document, out *Contract) *DocumentError {
	for i, model := range doc.Models {
		if !validName(model) || slices.Contains(out.Models, model) {
			return c.badValue(fmt.Sprintf("models[%d]", i), strconv.Quote(model), allowedNameSyntax+", each model once")
		}
		out.Models = append(out.Models, model)
	}
	return nil
}

const allowedNameSyntax = "a name of 1 to 128 bytes without spaces, control characters and '*'"

func validName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && !strings.ContainsFunc(name, func(r rune) bool {
		return r == '*' || unicode.IsSpace(r) || unicode.IsControl(r)
	})
}

func (c *checker) nonIdempotent(doc *document, out *Contract) *DocumentError {
	for i, table := range doc.NonIdempotent {
		prefix := fmt.Sprintf("non_idempotent[%d].", i)
		switch {
		case table.Service == nil:
			return c.missingKey(prefix+"service", allowedNameSyntax)
		case !validName(*table.Service):
			return c.badValue(prefix+"service", strconv.Quote(*table.Service), allowedNameSyntax)
		}
		for j, method := range table.Methods {
			if !slices.Contains(httpMethods, method) {
				return c.badValue(fmt.Sprintf("%smethods[%d]", prefix, j), strconv.Quote(method), strings.Join(httpMethods, ", "))
			}
		}
		rule := nonIdempotentRule{service: *table.Service, methods: table.Methods, pathPrefix: "/"}
		if table.PathPrefix != nil {
			rule.pathPrefix = *table.PathPrefix
		}
		if !strings.HasPrefix(rule.pathPrefix, "/") {
			return c.badValue(prefix+"path_prefix", strconv.Quote(rule.pathPrefix), "a path that starts with '/'")
		}
		out.nonIdempotent = append(out.nonIdempotent, rule)
	}
	return nil
}

func (c *checker) quietHours(doc *document, out *Contract) *DocumentError {
	if len(doc.QuietHours) > maxQuietHours {
		return c.badValue("quiet_hours", fmt.Sprintf("%d entries", len(doc.QuietHours)), fmt.Sprintf("at most %d entries", maxQuietHours))
	}
	for i := range doc.QuietHours {
		window, err := c.window(fmt.Sprintf("quiet_hours[%d].", i), &doc.QuietHours[i])
		if err != nil {
			return err
		}
		for j := range out.quietHours {
			target, common := window.commonTarget(&out.quietHours[j])
			if common && window.overlaps(&out.quietHours[j]) {
				err := c.badValue(fmt.Sprintf("quiet_hours[%d]", i), fmt.Sprintf("times that overlap with quiet_hours[%d] for %q", j, target),
					"quiet hours of one target that do not overlap")
				err.Code = CodeOverlap
				return err
			}
		}
		out.quietHours = append(out.quietHours, *window)
	}
	return nil
}

func (c *checker) window(prefix string, table *quietHoursTable) (*quietWindow, *DocumentError) {
	w := &quietWindow{}
	for i, day := range table.Days {
		index := slices.Index(weekdays, day)
		if index < 0 || w.days[index] {
			return nil, c.badValue(fmt.Sprintf("%sdays[%d]", prefix, i), strconv.Quote(day), "mon, tue, wed, thu, fri, sat, sun, each day once")
		}
		w.days[index] = true
	}
	if len(table.Days) == 0 {
		w.days = [7]bool{true, true, true, true, true, true, true}
	}
	if err := c.times(prefix, table, w); err != nil {
		return nil, err
	}
	if err := c.zone(prefix+"time_zone", table.TimeZone, w); err != nil {
		return nil, err
	}
	return w, c.targets(prefix+"applies_to", table.AppliesTo, w)
}

func (c *checker) times(prefix string, table *quietHoursTable, w *quietWindow) *DocumentError {
	const startAllowed, endAllowed = `a time from "00:00" to "23:59"`, `a time from "00:00" to "24:00" other than the start`
	if table.Start == nil {
		return c.missingKey(prefix+"start", startAllowed)
	}
	if table.End == nil {
		return c.missingKey(prefix+"end", endAllowed)
	}
	var ok bool
	if w.start, ok = parseMinutes(*table.Start); !ok || w.start == minutesPerDay {
		return c.badValue(prefix+"start", strconv.Quote(*table.Start), startAllowed)
	}
	if w.end, ok = parseMinutes(*table.End); !ok || w.end == w.start {
		return c.badValue(prefix+"end", strconv.Quote(*table.End), endAllowed)
	}
	return nil
}

// parseMinutes parses a time from "00:00" to "24:00" and returns the minutes
// since midnight.
func parseMinutes(text string) (minutes int, ok bool) {
	if text == "24:00" {
		return minutesPerDay, true
	}
	if len(text) != len("15:04") {
		return 0, false
	}
	t, err := time.Parse("15:04", text)
	if err != nil {
		return 0, false
	}
	return t.Hour()*60 + t.Minute(), true
}

func (c *checker) zone(key string, name *string, w *quietWindow) *DocumentError {
	const allowed = `a name of the IANA time zone database such as "Europe/Lisbon"`
	if name == nil {
		return c.missingKey(key, allowed)
	}
	// LoadLocation interprets "" as UTC and "Local" as the zone of the host,
	// which may differ between hosts.
	if *name == "" || *name == "Local" {
		return c.badValue(key, strconv.Quote(*name), allowed)
	}
	zone, err := time.LoadLocation(*name)
	if err != nil {
		return c.badValue(key, strconv.Quote(*name), allowed)
	}
	w.zone = zone
	return nil
}

func (c *checker) targets(key string, targets []string, w *quietWindow) *DocumentError {
	const allowed = `"model:NAME", "service:NAME", "model:*" or "service:*", each target once`
	if len(targets) == 0 {
		return c.missingKey(key, "at least one of "+allowed)
	}
	for i, target := range targets {
		kind, name, _ := strings.Cut(target, ":")
		if kind != "model" && kind != "service" || name != "*" && !validName(name) || slices.Contains(w.targets, target) {
			return c.badValue(fmt.Sprintf("%s[%d]", key, i), strconv.Quote(target), allowed)
		}
		w.targets = append(w.targets, target)
	}
	return nil
}
