package contract

import (
	"strings"
	"time"
)

const (
	// quietHorizon is how far ahead QuietUntil searches for the end of a quiet
	// period. Windows repeat weekly, so a period longer than a week never ends;
	// the eighth day covers clock changes.
	quietHorizon = 8 * 24 * time.Hour

	minutesPerDay  = 24 * 60
	minutesPerWeek = 7 * minutesPerDay
)

// quietWindow is one entry of quiet_hours. Its times are wall-clock times of
// zone, in minutes after midnight.
type quietWindow struct {
	days  [7]bool // days on which the window starts, indexed by time.Weekday
	start int
	// end is at most 24*60. It lies on the next day if it is not after start.
	end     int
	zone    *time.Location
	targets []string // "model:*" and "service:*" match every name
}

func (w *quietWindow) appliesTo(target string) bool {
	for _, pattern := range w.targets {
		if targetsIntersect(pattern, target) {
			return true
		}
	}
	return false
}

// endAt returns the end of the window's occurrence that contains the instant, if
// there is one.
func (w *quietWindow) endAt(at time.Time) (time.Time, bool) {
	year, month, day := at.In(w.zone).Date()
	// An occurrence lasts at most a day plus a clock change, so it started
	// today, yesterday or the day before.
	for back := 2; back >= 0; back-- {
		start, end, ok := w.occurrence(year, month, day-back)
		if ok && !at.Before(start) && at.Before(end) {
			return end, true
		}
	}
	return time.Time{}, false
}

// occurrence returns the half-open interval [start, end) of the window on a
// date. It returns false if the window does not start on that weekday.
func (w *quietWindow) occurrence(year int, month time.Month, day int) (start, end time.Time, ok bool) {
	date := time.Date(year, month, day, 0, 0, 0, 0, time.UTC)
	if !w.days[date.Weekday()] {
		return time.Time{}, time.Time{}, false
	}
	endMinutes := w.end
	if endMinutes <= w.start {
		endMinutes += minutesPerDay
	}
	start = firstInstant(date.Add(time.Duration(w.start)*time.Minute), w.zone)
	end = lastInstant(date.Add(time.Duration(endMinutes)*time.Minute), w.zone)
	return start, end, true
}

// firstInstant returns the first instant at which the wall clock of the zone
// shows wall, a local time represented as a UTC time. For a wall-clock time that
// the clock skips, it returns the first instant after the skipped period.
func firstInstant(wall time.Time, zone *time.Location) time.Time {
	first, _ := instants(wall, zone)
	return first
}

// lastInstant is like firstInstant but returns the last such instant.
func lastInstant(wall time.Time, zone *time.Location) time.Time {
	_, last := instants(wall, zone)
	return last
}

// instants returns the first and the last instant at which the wall clock of
// the zone shows wall. Near a clock change, time.Date does not guarantee which
// instant it returns, so the offsets on both sides of the change are tried.
func instants(wall time.Time, zone *time.Location) (first, last time.Time) {
	near := time.Date(wall.Year(), wall.Month(), wall.Day(), wall.Hour(), wall.Minute(), 0, 0, zone)
	periodStart, periodEnd := near.ZoneBounds()
	probes := []time.Time{near}
	if !periodStart.IsZero() {
		probes = append(probes, periodStart.Add(-time.Second))
	}
	if !periodEnd.IsZero() {
		probes = append(probes, periodEnd)
	}
	for _, probe := range probes {
		offset := offsetAt(probe, zone)
		t := wall.Add(-offset)
		if offsetAt(t, zone) != offset {
			continue
		}
		if first.IsZero() || t.Before(first) {
			first = t
		}
		if last.IsZero() || t.After(last) {
			last = t
		}
	}
	if !first.IsZero() {
		return first.In(zone), last.In(zone)
	}
	// No instant shows wall: the clock skips it at one of the two bounds.
	for _, change := range []time.Time{periodStart, periodEnd} {
		if change.IsZero() {
			continue
		}
		before := change.Add(offsetAt(change.Add(-time.Second), zone))
		after := change.Add(offsetAt(change, zone))
		if !wall.Before(before.UTC()) && wall.Before(after.UTC()) {
			return change, change
		}
	}
	return near, near
}

func offsetAt(t time.Time, zone *time.Location) time.Duration {
	_, seconds := t.In(zone).Zone()
	return time.Duration(seconds) * time.Second
}

// targetsIntersect reports whether any target matches both patterns.
func targetsIntersect(a, b string) bool {
	kindA, nameA, _ := strings.Cut(a, ":")
	kindB, nameB, _ := strings.Cut(b, ":")
	return kindA == kindB && (nameA == nameB || nameA == "*" || nameB == "*")
}

// commonTarget returns a target pattern that both windows apply to, if there is
// one.
func (w *quietWindow) commonTarget(other *quietWindow) (string, bool) {
	for _, a := range w.targets {
		for _, b := range other.targets {
			if targetsIntersect(a, b) {
				if strings.HasSuffix(a, ":*") {
					return b, true
				}
				return a, true
			}
		}
	}
	return "", false
}

// overlaps reports whether the wall-clock times of two windows overlap in some
// week, for any difference between their zones' offsets.
func (w *quietWindow) overlaps(other *quietWindow) bool {
	for _, difference := range offsetDifferences(w.zone, other.zone) {
		for _, a := range w.weeklyIntervals(0) {
			for _, b := range other.weeklyIntervals(difference) {
				if intervalsOverlap(a, b) {
					return true
				}
			}
		}
	}
	return false
}

// weeklyIntervals returns the interval [start, end) of each occurrence in a week,
// shifted by shift minutes. Times are minutes after the midnight at which Sunday
// begins.
func (w *quietWindow) weeklyIntervals(shift int) [][2]int {
	length := w.end - w.start
	if length <= 0 {
		length += minutesPerDay
	}
	var intervals [][2]int
	for day, on := range w.days {
		if on {
			start := ((day*minutesPerDay+w.start+shift)%minutesPerWeek + minutesPerWeek) % minutesPerWeek
			intervals = append(intervals, [2]int{start, start + length})
		}
	}
	return intervals
}

// intervalsOverlap reports whether two intervals overlap if both repeat weekly.
func intervalsOverlap(a, b [2]int) bool {
	for _, week := range []int{-minutesPerWeek, 0, minutesPerWeek} {
		if a[0] < b[1]+week && b[0]+week < a[1] {
			return true
		}
	}
	return false
}

// First and last year over which the offsets of two zones are compared. They are
// fixed, not relative to the current date, so that every node accepts or rejects
// the same documents.
const (
	offsetSpanFirstYear = 2024
	offsetSpanLastYear  = 2037
)

// offsetDifferences returns the distinct numbers of minutes by which zone a is
// ahead of zone b at 12:00 UTC on the days from offsetSpanFirstYear to
// offsetSpanLastYear.
func offsetDifferences(a, b *time.Location) []int {
	if a.String() == b.String() {
		return []int{0}
	}
	var differences []int
	seen := map[int]bool{}
	last := time.Date(offsetSpanLastYear+1, 1, 1, 0, 0, 0, 0, time.UTC)
	for t := time.Date(offsetSpanFirstYear, 1, 1, 12, 0, 0, 0, time.UTC); t.Before(last); t = t.AddDate(0, 0, 1) {
		minutes := int((offsetAt(t, a) - offsetAt(t, b)) / time.Minute)
		if !seen[minutes] {
			seen[minutes] = true
			differences = append(differences, minutes)
		}
	}
	return differences
}
