//go:build review

package main

// The runners of a service are replaced one after the other, release after release, under load.

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"coltsfootstall/review/reviewkit"
)

const (
	releaseRunners = 8
	releaseSlots   = 48
	// releaseLoad is the number of consumers, which send one stream after another on kept channels.
	releaseLoad   = releaseRunners*releaseSlots - 4
	releaseStream = 2 * time.Second
	releaseGap    = 200 * time.Millisecond
	// releaseEvery is the pause gap_s between two replacements, and releaseFor how long they go on.
	releaseEvery = time.Second
	releaseFor   = 80 * time.Second
	// descriptors is the bound maxFds of a front machine.
	descriptors = 4100
	// newcomers is the number of consumers that try new channels at the end, for newcomersFor.
	newcomers    = 10
	newcomersFor = 6 * time.Second
)

// releases checks the rule RECOVER after many releases.
func releases(binary string, record *reviewkit.Record, trouble bool) (string, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return "", err
	}
	if limit.Max != descriptors {
		return "", fmt.Errorf("the processes may open %d descriptors instead of %d", limit.Max, descriptors)
	}
	c, err := reviewkit.Start(reviewkit.Config{Binary: binary, Record: record, Controls: 3, Gateways: 1, Tolerated: 1})
	if c != nil {
		defer c.Stop()
	}
	if err != nil {
		return "", err
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		reviewkit.Answer(w, req)
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= int(releaseStream/releaseGap); i++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			select {
			case <-req.Context().Done():
				return
			case <-time.After(releaseGap):
			}
		}
	})
	started := 0
	start := func() (*reviewkit.Runner, error) {
		started++
		r := &reviewkit.Runner{ID: fmt.Sprintf("i-%d", started), Service: "press", Slots: releaseSlots}
		return r, c.StartRunner(100+started, r, handler)
	}
	var fleet []*reviewkit.Runner
	for range releaseRunners {
		r, err := start()
		if err != nil {
			return "", err
		}
		fleet = append(fleet, r)
	}
	if err := c.Call("/v1/config/put", streamTable(false), 20*time.Second); err != nil {
		return "", err
	}
	front := c.Gateways[0]
	time.Sleep(2 * time.Second)
	if err := warmUp(c.Front(front)); err != nil {
		return "", err
	}
	var stop atomic.Bool
	var served, failed atomic.Int64
	var consumers, leaving sync.WaitGroup
	for i := range releaseLoad {
		consumers.Go(func() { keepSending(c.Front(front), i, &stop, &served, &failed) })
	}
	begin := time.Now()
	for n := 1; time.Since(begin) < releaseFor; n++ {
		time.Sleep(time.Until(begin.Add(time.Duration(n) * releaseEvery)))
		if n%5 == 0 {
			record.Logf("%d runners started, %d descriptors open, %d streams served, %d failed, ready %t",
				started, front.Descriptors(), served.Load(), failed.Load(), c.Ready(front))
		}
		if !trouble {
			continue
		}
		r, err := start()
		if err != nil {
			return "", err
		}
		old := fleet[0]
		fleet = append(fleet[1:], r)
		leaving.Go(old.Drain)
	}
	leaving.Wait()
	// The releases are over, and the platform is calm for contactMs.
	time.Sleep(reviewkit.Contact)
	verdict, err := newChannels(c, front)
	stop.Store(true)
	consumers.Wait()
	for _, r := range fleet {
		r.Close()
	}
	return verdict, err
}

// keepSending sends one stream after another on a kept channel until stop is set.
func keepSending(front string, consumer int, stop *atomic.Bool, served, failed *atomic.Int64) {
	var ch *reviewkit.Channel
	for n := 0; !stop.Load(); n++ {
		if ch == nil {
			var err error
			if ch, err = reviewkit.Dial(front); err != nil {
				ch = nil
				time.Sleep(200 * time.Millisecond)
				continue
			}
		}
		result := ch.Do(reviewkit.Request{
			Method: "POST", Host: "press.example", Path: "/draft/a", ID: fmt.Sprintf("c%d-%d", consumer, n), Body: "{}", Budget: 8 * time.Second,
		})
		if result.Err == nil && result.Status == http.StatusOK {
			served.Add(1)
		} else {
			failed.Add(1)
			time.Sleep(500 * time.Millisecond)
		}
		if result.Err != nil || result.Closed {
			ch.Close()
			ch = nil
		}
	}
	if ch != nil {
		ch.Close()
	}
}

// newChannels has newcomers try new channels, and returns how the rule RECOVER was broken.
func newChannels(c *reviewkit.Cluster, front *reviewkit.Machine) (string, error) {
	var taken, notRead, ready, asked atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(newcomersFor)
	for i := range newcomers {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				ch, err := reviewkit.Dial(c.Front(front))
				if err != nil {
					notRead.Add(1)
					time.Sleep(200 * time.Millisecond)
					continue
				}
				// A consumer abandons the attempt if its request was not read after a second; an answer of any
				// status shows that it was.
				result := ch.Do(reviewkit.Request{
					Method: "POST", Host: "press.example", Path: "/unknown/a", ID: fmt.Sprintf("n%d-%d", i, n), Body: "{}", Budget: time.Second,
				})
				ch.Close()
				if result.Status != 0 {
					taken.Add(1)
				} else {
					notRead.Add(1)
				}
				c.Record.Logf("newcomer %d: status %d, error %v", i, result.Status, result.Err)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wg.Go(func() {
		for time.Now().Before(end) {
			asked.Add(1)
			if c.Ready(front) {
				ready.Add(1)
			}
			time.Sleep(500 * time.Millisecond)
		}
	})
	wg.Wait()
	c.Record.Logf("%d descriptors open; newcomers: %d channels taken, %d not; ready %d of %d times",
		front.Descriptors(), taken.Load(), notRead.Load(), ready.Load(), asked.Load())
	switch {
	case taken.Load() == 0 && ready.Load() == asked.Load():
		return fmt.Sprintf("RECOVER: for %s the machine said that it is ready (%d of %d times) and took none of the new channels of %d consumers; %d descriptors are open",
			newcomersFor, ready.Load(), asked.Load(), newcomers, front.Descriptors()), nil
	case taken.Load() == 0 && ready.Load() > 0:
		return "", errors.New("the machine was ready only at times")
	}
	return "", nil
}
