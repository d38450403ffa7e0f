// Command 1 shows streams that hold events of two software versions. While the store is
// down, the engines of one zone crash and come back with a newer version; some seconds later
// the engines of another zone crash. With TROUBLE=0 the store stays up.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/yuccahatch/yuccahatch/platform/standin"
	"github.com/yuccahatch/yuccahatch/review/world"
)

const (
	service      = "engines"
	perZone      = 5
	zones        = 3
	events       = 200
	pace         = 60 * time.Millisecond
	streams      = 60
	outageLength = 8 * time.Second
	beat         = 1200 * time.Millisecond
	maxMixed     = 2 // the rule allows two streams
)

// deployment is the engines and their reports to the store.
type deployment struct {
	*world.World
	gate *world.Gate // in front of the store

	mu       sync.Mutex
	down     bool                       // guarded by mu; the store is down
	engines  map[string]*standin.Engine // guarded by mu; the running ones, by id
	sequence map[string]int64           // guarded by mu
	stale    []string                   // guarded by mu; rows whose engines have ended
}

func main() {
	binary := flag.String("binary", "target/yuccahatchd", "node program")
	record := flag.String("record", "record.txt", "record of what was sent, answered and run")
	flag.Parse()
	mixed, err := run(*binary, *record)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(world.NotRun)
	case mixed > maxMixed:
		fmt.Printf("broken: %d streams hold events of two versions\n", mixed)
		os.Exit(world.Broken)
	}
	fmt.Printf("held: %d streams hold events of two versions\n", mixed)
}

func run(binary, record string) (mixed int, err error) {
	w, err := world.New(binary, record, 134)
	if err != nil {
		return 0, err
	}
	defer w.Close()
	gate, err := world.NewGate(w.Store.Address())
	if err != nil {
		return 0, err
	}
	defer gate.Close()
	d := &deployment{World: w, gate: gate, engines: map[string]*standin.Engine{}, sequence: map[string]int64{}}
	addresses := map[string]string{}
	for i := range perZone * zones {
		id := fmt.Sprintf("i-%d", i)
		e, err := d.startEngine(id, "127.0.0.1:0", world.Zone(i), "1.0")
		if err != nil {
			return 0, err
		}
		addresses[id] = e.Entry.Address
	}
	d.report()
	stop := make(chan struct{})
	defer close(stop)
	go d.beat(stop)
	if err := w.StartNodes(3, func(int) string { return gate.Address() }); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second) // the nodes know each other, the engines and their versions

	results := make([]result, streams)
	var clients sync.WaitGroup
	for i := range streams {
		clients.Go(func() { results[i] = d.stream(i) })
		time.Sleep(40 * time.Millisecond)
	}
	if world.Trouble() {
		d.setDown(true)
	}
	outageBegan := time.Now()
	time.Sleep(500 * time.Millisecond)
	d.crashZone(0)
	time.Sleep(1200 * time.Millisecond)
	for i := range perZone {
		old := fmt.Sprintf("i-%d", i*zones)
		if _, err := d.startEngine(old+"-b", addresses[old], world.Zone(0), "2.0"); err != nil {
			return 0, err
		}
	}
	d.report()
	time.Sleep(4900 * time.Millisecond)
	d.crashZone(1)
	time.Sleep(max(0, outageLength-time.Since(outageBegan)))
	d.setDown(false)
	clients.Wait()

	complete := 0
	for i, r := range results {
		w.Log("stream %d: versions %v, events %d, attempts %d", i, r.versions, r.last, r.attempts)
		if len(r.versions) > 1 {
			mixed++
		}
		if r.last == events {
			complete++
		}
	}
	w.Log("%d of %d streams are complete, %d hold events of two versions", complete, streams, mixed)
	if complete < streams/2 {
		return mixed, fmt.Errorf("only %d of %d streams are complete", complete, streams)
	}
	return mixed, nil
}

// startEngine starts an engine of a version at an address.
func (d *deployment) startEngine(id, address, zone, version string) (*standin.Engine, error) {
	e, err := standin.NewEngineAt(address, id, service, zone)
	if err != nil {
		return nil, err
	}
	e.Entry.Version, e.Events, e.Pace = version, events, pace
	d.mu.Lock()
	defer d.mu.Unlock()
	d.engines[id] = e
	d.Log("engine %s started at %s in %s, version %s", id, e.Entry.Address, zone, version)
	return e, nil
}

// crashZone ends all engines of a zone at once.
func (d *deployment) crashZone(zone int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, e := range d.engines {
		if e.Entry.Zone == world.Zone(zone) {
			e.Crash()
			delete(d.engines, id)
			d.stale = append(d.stale, id)
			d.Log("engine %s crashed", id)
		}
	}
}

// setDown takes the store down or brings it back. While it is down it resets all channels.
// The rows of engines that ended meanwhile have lapsed when it is back.
func (d *deployment) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down == down {
		return
	}
	d.down = down
	if down {
		d.gate.Shut(true)
		d.Log("store down")
		return
	}
	for _, id := range d.stale {
		d.Store.Remove("servers", id)
	}
	d.stale = nil
	d.gate.Shut(false)
	d.Log("store back")
}

// beat writes the reports of the running engines.
func (d *deployment) beat(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(beat):
			d.report()
		}
	}
}

func (d *deployment) report() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down {
		return
	}
	for id, e := range d.engines {
		d.sequence[id]++
		entry := e.Entry
		entry.Sequence = d.sequence[id]
		raw, err := json.Marshal(entry)
		if err != nil {
			panic(err) // an entry can always be encoded
		}
		d.Store.Put("servers", id, raw)
	}
}

// result is what a client got of a stream, over all its attempts.
type result struct {
	versions []string
	last     int // number of the last event
	attempts int
}

// stream requests one stream. After an interruption the client takes it up again, as the
// pages say.
func (d *deployment) stream(i int) (r result) {
	origin := ""
	end := time.Now().Add(25 * time.Second)
	for r.last < events && time.Now().Before(end) && r.attempts < 4 {
		r.attempts++
		id := fmt.Sprintf("%08x%08x", i, r.attempts)
		d.attempt(&r, world.Request{
			Node: d.Nodes[(i+r.attempts)%len(d.Nodes)], Path: "/plan/x", ID: id, Body: fmt.Sprintf("stream-%d", i),
			Timeout: time.Until(end), After: r.last, Resumes: origin,
		})
		if origin == "" && r.last > 0 {
			origin = id
		}
		if r.last < events {
			time.Sleep(300 * time.Millisecond)
		}
	}
	return r
}

func (d *deployment) attempt(r *result, x world.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), x.Timeout)
	defer cancel()
	d.Log("%s sent to %s, after event %d", x.ID, x.Node.Name, x.After)
	response, err := world.Send(ctx, x)
	if err != nil {
		d.Log("%s failed: %v", x.ID, err)
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		d.Log("%s answered %d", x.ID, response.StatusCode)
		return
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		line := lines.Text()
		if number, ok := strings.CutPrefix(line, "id: "); ok {
			r.last, _ = strconv.Atoi(number)
		}
		if v, ok := standin.VersionOfLine(line); ok && !slices.Contains(r.versions, v) {
			r.versions = append(r.versions, v)
			d.Log("%s event %d is of version %s", x.ID, r.last, v)
		}
	}
	d.Log("%s ended after event %d: %v", x.ID, r.last, lines.Err())
}
