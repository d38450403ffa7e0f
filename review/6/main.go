// The program of case 6; see claim.txt.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/yuccahatch/yuccahatch/review/ground"
)

const (
	sharedPart   = "5c1e07a2:200"
	deadlyPart   = "dead0001"
	deadlyLast   = "dead0002" // last part of the request that crashes servers as a whole
	runEvents    = 30
	soundPause   = 100 * time.Millisecond
	deadlyPause  = 1500 * time.Millisecond
	calm         = 8 * time.Second
	rollAfter    = 26 * time.Second // from the start of the traffic
	gap          = 2 * time.Second  // between two machines
	gracePeriod  = 8 * time.Second  // bound gracePeriodS
	stableWindow = 3 * time.Second  // bound stableWindowMs
	recovery     = 12 * time.Second // bound recoveryS
	checkTime    = 24 * time.Second // after the nodes are back
	minRequests  = 20
)

func main() {
	folder := flag.String("data", "review/ground", "folder of the data files")
	program := flag.String("program", "target/yuccahatchd", "node program")
	record := flag.String("record", "record.txt", "record of the run")
	flag.Parse()
	os.Exit(run(*folder, *program, *record))
}

func run(folder, program, record string) int {
	w, err := ground.New(folder, program, record)
	if err != nil {
		fmt.Println(err)
		return ground.NotRun
	}
	defer w.Close()
	engines, err := w.StartEngines(ground.EngineOptions{Count: 9, Events: runEvents, Pace: 20 * time.Millisecond, Prefill: 300 * time.Millisecond, Restart: 2 * time.Second}, deadlyPart, deadlyLast)
	if err != nil {
		fmt.Println(err)
		return ground.NotRun
	}
	defer engines.Close()
	if err := w.StartNodes(3); err != nil {
		w.Say("%v", err)
		return ground.NotRun
	}
	streams := w.NewStreams(runEvents)
	client := &http.Client{}
	stop := make(chan struct{})
	begin := time.Now()
	every := func(pause time.Duration, send func(i int)) {
		go func() {
			for i := 0; ; i++ {
				send(i)
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
			}
		}()
	}
	every(soundPause, func(i int) { streams.Send("sound", i, sharedPart) })
	time.Sleep(calm)
	troubleAt := time.Now()
	if w.Trouble {
		every(deadlyPause, func(i int) { streams.Send("deadly", i, sharedPart+","+deadlyPart+":200") })
		for attempt := range 2 {
			time.Sleep(5 * time.Second)
			r := w.Send(client, ground.Call{
				Node: w.Nodes[attempt], Method: http.MethodPost, Path: "/plan/x", ID: fmt.Sprintf("whole-%d", attempt), Body: "body of a request that crashes servers",
				Prefix: sharedPart + "," + deadlyLast + ":7800", Tokens: 8000, Timeout: 25 * time.Second,
			})
			w.Say("request that crashes servers: status %d, %d crashes so far", r.Status, len(engines.Parts.Crashes()))
		}
	}
	time.Sleep(time.Until(begin.Add(rollAfter)))
	if w.Trouble {
		for _, n := range w.Nodes {
			w.Stop(n, gracePeriod)
			if err := w.Start(n); err != nil {
				w.Say("%v", err)
				return ground.NotRun
			}
			time.Sleep(gap)
		}
	}
	back := time.Now()
	if err := w.AwaitReady(10 * time.Second); err != nil {
		w.Say("%v", err)
		return ground.NotRun
	}
	w.Say("all nodes are ready, %d crashes so far", len(engines.Parts.Crashes()))
	time.Sleep(time.Until(back.Add(checkTime)))
	close(stop)
	streams.Wait()
	return judge(w, streams, engines, troubleAt, back)
}

func judge(w *ground.World, streams *ground.Streams, engines *ground.Engines, troubleAt, back time.Time) int {
	from := back.Add(stableWindow)
	if crashes := engines.Parts.Crashes(); len(crashes) > 0 {
		if after := crashes[min(5, len(crashes))-1].Add(2 * stableWindow); after.After(from) {
			from = after
		}
	}
	first := func(from, to time.Time) func(ground.Sample) bool {
		return func(x ground.Sample) bool {
			return x.Kind == "sound" && x.First && x.Sent.After(from) && x.Sent.Before(to)
		}
	}
	begun := func(x ground.Sample) bool { return x.Begun }
	end := back.Add(checkTime)
	calm, later := streams.Count(first(time.Time{}, troubleAt.Add(-time.Second)), begun), streams.Count(first(from, end), begun)
	recovered := streams.Count(func(x ground.Sample) bool { return x.Kind == "sound" && x.Sent.After(back.Add(recovery)) }, func(x ground.Sample) bool { return x.Whole })
	deadly := streams.Count(func(x ground.Sample) bool { return x.Kind == "deadly" && x.Sent.After(from) }, begun)
	w.Say("sound requests that began at the first attempt before the trouble: %s", calm)
	w.Say("requests with the deadly part sent after %.1f s: %d", from.Sub(back).Seconds(), deadly.All)
	w.Say("sound requests that began at the first attempt since then: %s", later)
	w.Say("sound requests served that were sent later than %v after the machines were back: %s", recovery, recovered)
	switch {
	case calm.All < minRequests || later.All < minRequests || calm.Rate() < 0.25:
		return ground.NotRun
	case later.Rate() < calm.Rate()/2:
		w.Say("LOST is broken")
		return ground.Broken
	}
	w.Say("LOST held")
	return ground.Held
}
