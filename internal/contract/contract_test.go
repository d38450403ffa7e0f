package contract

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of the random tests, so that CI is deterministic, and
// the number of cases; -rapid.seed and -rapid.checks override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261", "rapid.checks": "40"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

const sampleDocument = `customer = "arejo-lisboa"
keys = ["sha256:2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"]  # "secret"
priority = "high"
share_percent = 25
models = ["airing-plan-1"]
[[quiet_hours]]
days = ["mon", "tue"]
start = "22:00"
end = "07:00"
time_zone = "Europe/Lisbon"
applies_to = ["model:*", "service:booking"]
[[non_idempotent]]
service = "booking"
methods = ["POST"]
path_prefix = "/bookings"
`

func mustParse(t testing.TB, text string) *Contract {
	t.Helper()
	c, err := Parse([]byte(text))
	if err != nil {
		t.Fatalf("parse: %v", err)
	}
	return c
}

func TestParse(t *testing.T) {
	c := mustParse(t, sampleDocument)
	if c.Team != "arejo-lisboa" || c.Priority != PriorityHigh || c.SharePercent != 25 {
		t.Errorf("contract = %+v", c)
	}
	if !c.MatchesKey("secret") || c.MatchesKey("Secret") || c.MatchesKey("") {
		t.Error("MatchesKey accepts the wrong keys")
	}
	if c.KeyHashes()[0] != HashKey("secret") {
		t.Error("KeyHashes differs from HashKey")
	}
	if !c.AllowsModel("airing-plan-1") || c.AllowsModel("other") {
		t.Error("AllowsModel ignores the list")
	}
}

// Guards against requests that evade a rule through another spelling of the
// path, such as an escaped character or a doubled slash (property P5).
func TestIsNonIdempotent(t *testing.T) {
	c := mustParse(t, sampleDocument)
	for _, tc := range []struct {
		service, method, path string
		want                  bool
	}{
		{"booking", "POST", "/bookings", true},
		{"booking", "post", "/bookings/1", true},
		{"booking", "POST", "bookings", true},
		{"booking", "POST", "//bookings", true},
		{"booking", "POST", "/x/../bookings", true},
		{"booking", "POST", "/%62ookings", true},
		{"booking", "GET", "/bookings", false},
		{"booking", "POST", "/quotes", false},
		{"orders", "POST", "/bookings", false},
	} {
		if got := c.IsNonIdempotent(tc.service, tc.method, tc.path); got != tc.want {
			t.Errorf("IsNonIdempotent(%q, %q, %q) = %v", tc.service, tc.method, tc.path, got)
		}
	}
}

// Every validation error must give the line, the column and the key, so that an
// operator can correct the document.
func TestParseRefusals(t *testing.T) {
	replace := func(old, new string) string { return strings.Replace(sampleDocument, old, new, 1) }
	quietHoursFormat := "[[quiet_hours]]\nstart = \"%s\"\nend = \"%s\"\ntime_zone = \"%s\"\napplies_to = [\"%s\"]\n"
	for _, tc := range []struct {
		name, text string
		code       Code
		line, col  int
		key        string
	}{
		{"unknown key", replace("priority", "priorty"), CodeUnknownKey, 3, 1, "priorty"},
		{"unknown nested key", replace("methods", "method"), CodeUnknownKey, 14, 1, "non_idempotent.method"},
		{"syntax", replace("= 25", "= = 25"), CodeSyntax, 4, 17, ""},
		{"wrong type", replace(`"high"`, "7"), CodeSyntax, 3, 12, "priority"},
		{"duplicate key", sampleDocument + "service = \"x\"\n", CodeSyntax, 16, 1, "service"},
		{"share over 100", replace("= 25", "= 101"), CodeBadValue, 4, 17, "share_percent"},
		{"share of zero", replace("= 25", "= 0"), CodeBadValue, 4, 17, "share_percent"},
		{"share not a number", replace("= 25", "= nan"), CodeBadValue, 4, 17, "share_percent"},
		{"no share", replace("share_percent = 25\n", ""), CodeMissingKey, 1, 1, "share_percent"},
		{"bad customer", replace("arejo-lisboa", "arejo/lisboa"), CodeBadValue, 1, 12, "customer"},
		{"bad key hash", replace("sha256:2b", "sha256:2B"), CodeBadValue, 2, 9, "keys[0]"},
		{"bad priority", replace(`"high"`, `"urgent"`), CodeBadValue, 3, 12, "priority"},
		{"bad model", replace("airing-plan-1", "*"), CodeBadValue, 5, 11, "models[0]"},
		{"bad day", replace(`"tue"`, `"tuesday"`), CodeBadValue, 7, 16, "quiet_hours[0].days[1]"},
		{"bad time", replace("22:00", "22:60"), CodeBadValue, 8, 9, "quiet_hours[0].start"},
		{"empty window", replace("07:00", "22:00"), CodeBadValue, 9, 7, "quiet_hours[0].end"},
		{"unknown zone", replace("Europe/Lisbon", "Europe/Lisboa"), CodeBadValue, 10, 13, "quiet_hours[0].time_zone"},
		{"zone of the host", replace("Europe/Lisbon", "Local"), CodeBadValue, 10, 13, "quiet_hours[0].time_zone"},
		{"bad target", replace("service:booking", "engine:booking"), CodeBadValue, 11, 26, "quiet_hours[0].applies_to[1]"},
		{"no target", replace("applies_to = [\"model:*\", \"service:booking\"]\n", ""), CodeMissingKey, 6, 3, "quiet_hours[0].applies_to"},
		{"bad method", replace(`"POST"`, `"post"`), CodeBadValue, 14, 12, "non_idempotent[0].methods[0]"},
		{"relative prefix", replace(`"/bookings"`, `"bookings"`), CodeBadValue, 15, 15, "non_idempotent[0].path_prefix"},
		{"overlap", sampleDocument + fmt.Sprintf(quietHoursFormat, "06:59", "08:00", "Europe/Lisbon", "model:x"), CodeOverlap, 16, 3, "quiet_hours[1]"},
		// 23:00 in Prague is 22:00 in Lisbon.
		{"overlap across zones", sampleDocument + fmt.Sprintf(quietHoursFormat, "23:00", "23:15", "Europe/Prague", "service:*"), CodeOverlap, 16, 3, "quiet_hours[1]"},
		{"too large", strings.Repeat("#", MaxDocumentBytes+1), CodeTooLarge, 0, 0, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Parse([]byte(tc.text))
			var de *DocumentError
			if !errors.As(err, &de) {
				t.Fatalf("error = %v", err)
			}
			if de.Code != tc.code || de.Line != tc.line || de.Column != tc.col || de.Key != tc.key {
				t.Errorf("got %s at %d:%d key %q: %v", de.Code, de.Line, de.Column, de.Key, de)
			}
			if de.Found == "" || de.Allowed == "" {
				t.Errorf("error lacks what was found or is allowed: %v", de)
			}
		})
	}
}

// Adjacent windows, windows that overlap but apply to different targets, and
// inline tables are valid.
func TestParseAllowed(t *testing.T) {
	mustParse(t, sampleDocument+"[[quiet_hours]]\nstart = \"07:00\"\nend = \"22:00\"\ntime_zone = \"Europe/Lisbon\"\napplies_to = [\"model:x\"]\n")
	mustParse(t, sampleDocument+"[[quiet_hours]]\nstart = \"22:00\"\nend = \"07:00\"\ntime_zone = \"Europe/Lisbon\"\napplies_to = [\"service:x\"]\n")
	mustParse(t, "customer = \"a\"\nshare_percent = 0.5\nnon_idempotent = [{service = \"s\"}]\n")
}

func quietHoursEntry(zone, days, start, end string) string {
	return fmt.Sprintf("[[quiet_hours]]\ndays = [%s]\nstart = %q\nend = %q\ntime_zone = %q\napplies_to = [\"model:*\"]\n", days, start, end, zone)
}

const documentHeader = "customer = \"a\"\nshare_percent = 1\n"

// The clocks of Lisbon and Prague change at 01:00 UTC: on 2026-03-29 the local
// hour from 01:00 (Lisbon) or 02:00 (Prague) is skipped, and on 2026-10-25 it
// is repeated.
func TestQuietUntil(t *testing.T) {
	const lisbon, prague = "Europe/Lisbon", "Europe/Prague"
	for _, tc := range []struct {
		name, windows, now, until string
	}{
		{"start is included", quietHoursEntry(lisbon, "", "22:00", "07:00"), "2026-01-05T22:00:00Z", "2026-01-06T07:00:00Z"},
		{"end is excluded", quietHoursEntry(lisbon, "", "22:00", "07:00"), "2026-01-06T07:00:00Z", ""},
		{"weekday is that of the start", quietHoursEntry(lisbon, `"mon"`, "22:00", "07:00"), "2026-01-06T03:00:00Z", "2026-01-06T07:00:00Z"},
		{"window does not start on the next day", quietHoursEntry(lisbon, `"mon"`, "22:00", "07:00"), "2026-01-06T23:00:00Z", ""},
		{"times are local to the zone", quietHoursEntry(prague, "", "22:00", "07:00"), "2026-01-05T21:00:00Z", "2026-01-06T06:00:00Z"},
		{"spring, Lisbon, over the change", quietHoursEntry(lisbon, "", "00:30", "03:00"), "2026-03-29T00:30:00Z", "2026-03-29T02:00:00Z"},
		{"spring, Lisbon, skipped start", quietHoursEntry(lisbon, "", "01:30", "03:00"), "2026-03-29T00:59:59Z", ""},
		{"spring, Lisbon, skipped start moved", quietHoursEntry(lisbon, "", "01:30", "03:00"), "2026-03-29T01:00:00Z", "2026-03-29T02:00:00Z"},
		{"spring, Lisbon, skipped end moved", quietHoursEntry(lisbon, "", "00:30", "01:30"), "2026-03-29T00:59:59Z", "2026-03-29T01:00:00Z"},
		{"spring, Lisbon, entirely skipped", quietHoursEntry(lisbon, "", "01:10", "01:50"), "2026-03-29T01:00:00Z", ""},
		{"spring, Prague, skipped start moved", quietHoursEntry(prague, "", "02:30", "04:00"), "2026-03-29T01:00:00Z", "2026-03-29T02:00:00Z"},
		{"spring, Prague, skipped end moved", quietHoursEntry(prague, "", "01:30", "02:30"), "2026-03-29T00:45:00Z", "2026-03-29T01:00:00Z"},
		{"autumn, Lisbon, first start", quietHoursEntry(lisbon, "", "01:30", "03:00"), "2026-10-25T00:30:00Z", "2026-10-25T03:00:00Z"},
		{"autumn, Lisbon, second end", quietHoursEntry(lisbon, "", "00:30", "01:30"), "2026-10-25T00:45:00Z", "2026-10-25T01:30:00Z"},
		{"autumn, Lisbon, between", quietHoursEntry(lisbon, "", "00:30", "01:30"), "2026-10-25T01:29:59Z", "2026-10-25T01:30:00Z"},
		{"autumn, Prague, first start", quietHoursEntry(prague, "", "02:30", "04:00"), "2026-10-25T00:30:00Z", "2026-10-25T03:00:00Z"},
		{"autumn, Prague, second end", quietHoursEntry(prague, "", "01:30", "02:30"), "2026-10-25T00:45:00Z", "2026-10-25T01:30:00Z"},
		{"adjacent windows merge", quietHoursEntry(lisbon, "", "22:00", "24:00") + quietHoursEntry(lisbon, "", "00:00", "05:00"), "2026-01-05T22:30:00Z", "2026-01-06T05:00:00Z"},
		{"always quiet", quietHoursEntry(lisbon, "", "00:00", "24:00"), "2026-01-05T22:30:00Z", "2026-01-13T22:30:00Z"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now, err := time.Parse(time.RFC3339, tc.now)
			if err != nil {
				t.Fatal(err)
			}
			until, ok := mustParse(t, documentHeader+tc.windows).QuietUntil("model:x", now)
			got := ""
			if ok {
				got = until.UTC().Format(time.RFC3339)
			}
			if got != tc.until {
				t.Errorf("quiet until %q, want %q", got, tc.until)
			}
		})
	}
	if _, ok := mustParse(t, documentHeader+quietHoursEntry(lisbon, "", "00:00", "24:00")).QuietUntil("service:x", time.Unix(0, 0)); ok {
		t.Error("window for models applies to a service")
	}
}

// oracle holds an independently computed result for QuietUntil: whether each minute
// of 14 days, starting 3 days before now, is quiet.
type oracle struct {
	first time.Time // start of the first minute
	quiet []bool    // indexed by minutes after first
}

const oracleMinutes = 14 * minutesPerDay

func newOracle(c *Contract, now time.Time) *oracle {
	o := &oracle{first: now.UTC().Truncate(time.Minute).Add(-3 * 24 * time.Hour), quiet: make([]bool, oracleMinutes)}
	for _, w := range c.quietHours {
		walls := make([]time.Time, oracleMinutes)
		for m := range walls {
			l := o.first.Add(time.Duration(m) * time.Minute).In(w.zone)
			walls[m] = time.Date(l.Year(), l.Month(), l.Day(), l.Hour(), l.Minute(), 0, 0, time.UTC)
		}
		for date := walls[0].Truncate(24 * time.Hour); date.Before(walls[oracleMinutes-1]); date = date.AddDate(0, 0, 1) {
			if !w.days[date.Weekday()] {
				continue
			}
			start, end := date.Add(time.Duration(w.start)*time.Minute), date.Add(time.Duration(w.end)*time.Minute)
			if w.end <= w.start {
				end = end.AddDate(0, 0, 1)
			}
			o.markOccurrence(walls, start, end)
		}
	}
	return o
}

// markOccurrence marks the minutes of one occurrence of a window as quiet: from
// the first minute whose wall clock reaches start until the last that shows end
// or, if the clock skips end, the first that is after it.
func (o *oracle) markOccurrence(walls []time.Time, start, end time.Time) {
	from, to := -1, -1
	// Clock changes shift a wall-clock time by less than a day.
	near := int(start.Sub(walls[0]) / time.Minute)
	for m := max(0, near-minutesPerDay); m < min(oracleMinutes, near+4*minutesPerDay); m++ {
		wall := walls[m]
		if from < 0 && !wall.Before(start) {
			from = m
		}
		if wall.Equal(end) || to < 0 && wall.After(end) {
			to = m
		}
	}
	if to < 0 {
		to = oracleMinutes
	}
	for m := from; from >= 0 && m < to; m++ {
		o.quiet[m] = true
	}
}

// Guards against errors near clock changes and weekday boundaries that the cases
// of TestQuietUntil do not cover. Windows may overlap here, since the check for
// overlaps is not under test.
func TestQuietUntilAgainstOracle(t *testing.T) {
	zones := []string{"Europe/Lisbon", "Europe/Prague", "UTC", "Australia/Lord_Howe", "America/St_Johns"}
	rapid.Check(t, func(t *rapid.T) {
		c := &Contract{}
		for range rapid.IntRange(1, 3).Draw(t, "windows") {
			zone, err := time.LoadLocation(rapid.SampledFrom(zones).Draw(t, "zone"))
			if err != nil {
				t.Fatal(err)
			}
			w := quietWindow{zone: zone, targets: []string{"model:*"}}
			for i := range w.days {
				w.days[i] = rapid.IntRange(0, 3).Draw(t, "day") > 0
			}
			w.start = rapid.IntRange(0, minutesPerDay-1).Draw(t, "start")
			w.end = rapid.IntRange(0, minutesPerDay).Filter(func(end int) bool { return end != w.start }).Draw(t, "end")
			c.quietHours = append(c.quietHours, w)
		}
		change := rapid.SampledFrom([]string{"2026-03-29T01:00:00Z", "2026-10-25T01:00:00Z", "2026-04-04T15:00:00Z", "2026-10-03T15:30:00Z", "2026-06-10T00:00:00Z"}).Draw(t, "change")
		now, _ := time.Parse(time.RFC3339, change)
		now = now.Add(time.Duration(rapid.IntRange(-2*minutesPerDay, 2*minutesPerDay).Draw(t, "minute")) * time.Minute)
		o := newOracle(c, now)
		m := int(now.Sub(o.first) / time.Minute)
		until, ok := c.QuietUntil("model:x", now)
		if ok != o.quiet[m] {
			t.Fatalf("quiet at %s = %v, oracle says %v", now, ok, o.quiet[m])
		}
		if !ok {
			return
		}
		want := now
		for ; m < oracleMinutes && o.quiet[m] && want.Before(now.Add(quietHorizon)); m++ {
			want = want.Add(time.Minute)
		}
		if !until.Equal(want) {
			t.Fatalf("quiet at %s until %s, oracle says %s", now, until.UTC(), want)
		}
	})
}

// Guards against a panic on arbitrary input and against errors that do not say
// what was found and what is allowed.
func FuzzParse(f *testing.F) {
	f.Add([]byte(sampleDocument))
	f.Add([]byte(documentHeader + quietHoursEntry("Europe/Prague", `"sun"`, "02:30", "24:00")))
	f.Add([]byte("quiet_hours = [{days = [\"mon\"]}]\n[non_idempotent]\n"))
	f.Add([]byte("\"a.b\" = 1\nkeys = [[1]]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := Parse(text)
		if err == nil {
			c.QuietUntil("model:x", time.Unix(1790000000, 0))
			c.IsNonIdempotent("s", "POST", string(text))
			return
		}
		var de *DocumentError
		if !errors.As(err, &de) || de.Found == "" || de.Allowed == "" {
			t.Fatalf("error without explanation: %#v", err)
		}
		if de.Line > strings.Count(string(text), "\n")+1 {
			t.Fatalf("line %d is outside the document", de.Line)
		}
	})
}
