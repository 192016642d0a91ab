//go:build review

package main

// A gateway is stopped with SIGTERM while consumers send one stream after another on kept channels.

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"coltsfootstall/review/reviewkit"
)

const (
	stopChannels = 10
	// stopStream is how long a stream takes; its events come every stopGap, within gapGoalMs.
	stopStream = 5 * time.Second
	stopGap    = 200 * time.Millisecond
	// stopAt is when the SIGTERM is sent, after the first streams have begun.
	stopAt = 8 * time.Second
)

func streamTable(resumable bool) string {
	return fmt.Sprintf(`{"version":3,"routes":[{"name":"r-stream","host":"press.example","pathPrefix":"/draft/","kind":"streaming",`+
		`"timeoutMs":10000,"goalMs":600,"priority":1,"service":"press","maxAttempts":2,"public":true,"sticky":false,"resumable":%t,"gapGoalMs":300}],`+
		`"services":[{"name":"press","healthPath":"/health","maxConns":290,"protocol":"h1","tls":false}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, resumable)
}

// plannedStop checks the rule LOST around a SIGTERM.
func plannedStop(binary string, record *reviewkit.Record, trouble bool) (string, error) {
	c, err := reviewkit.Start(reviewkit.Config{Binary: binary, Record: record, Controls: 3, Gateways: 2, Tolerated: 1})
	if c != nil {
		defer c.Stop()
	}
	if err != nil {
		return "", err
	}
	var runs sync.Map
	handler := http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		id := req.Header.Get("X-Coltsfootstall-Request-Id")
		runs.Store(id, time.Now())
		reviewkit.Answer(w, req)
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= int(stopStream/stopGap); i++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i); err != nil {
				return
			}
			w.(http.Flusher).Flush()
			select {
			case <-req.Context().Done():
				record.Logf("runner: the channel of %s was closed after event %d", id, i)
				return
			case <-time.After(stopGap):
			}
		}
	})
	for i := range 3 {
		r := &reviewkit.Runner{ID: fmt.Sprintf("i-%d", i+1), Service: "press", Slots: 48}
		if err := c.StartRunner(101+i, r, handler); err != nil {
			return "", err
		}
		defer r.Close()
	}
	if err := c.Call("/v1/config/put", streamTable(false), 20*time.Second); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	if err := warmUp(c.Front(c.Gateways[0])); err != nil {
		return "", err
	}

	var mu sync.Mutex
	var broken []string
	complete := 0
	var stoppedAt time.Time
	begin := time.Now()
	var consumers sync.WaitGroup
	for i := range stopChannels {
		consumers.Go(func() {
			time.Sleep(time.Duration(i) * stopStream / stopChannels)
			ch, err := reviewkit.Dial(c.Front(c.Gateways[0]))
			if err != nil {
				record.Logf("consumer %d: %v", i, err)
				return
			}
			defer ch.Close()
			for n := 0; time.Since(begin) < stopAt+stopStream; n++ {
				id := fmt.Sprintf("s%d-%d", i, n)
				result := ch.Do(reviewkit.Request{
					Method: "POST", Host: "press.example", Path: "/draft/a", ID: id, Body: "{}", Budget: 10 * time.Second,
				})
				events := strings.Count(string(result.Body), "\n\n")
				startedAt, ran := runs.Load(id)
				mu.Lock()
				after := result.SentAt.Sub(stoppedAt)
				isStopped := !stoppedAt.IsZero() && result.EndAt.After(stoppedAt)
				mu.Unlock()
				record.Logf("consumer %d: %s sent, status %d, %d events, error %v, close %t, ran %t", i, id, result.Status, events, result.Err, result.Closed, ran)
				switch {
				case result.Err == nil && result.Status == 200:
					mu.Lock()
					complete++
					mu.Unlock()
				case result.Err != nil && ran && isStopped && after > 3*time.Second:
					mu.Lock()
					broken = append(broken, fmt.Sprintf("%s was sent %.2f s after the SIGTERM, reached a runner %.0f ms later and ended after %d of %d events",
						id, after.Seconds(), startedAt.(time.Time).Sub(result.SentAt).Seconds()*1000, events, int(stopStream/stopGap)))
					mu.Unlock()
				case result.Err != nil && !trouble:
					mu.Lock()
					broken = append(broken, fmt.Sprintf("%s ended without a complete answer: %v", id, result.Err))
					mu.Unlock()
				}
				if result.Err != nil || result.Closed {
					return
				}
			}
		})
	}
	time.Sleep(stopAt - time.Since(begin))
	if trouble {
		mu.Lock()
		stoppedAt = time.Now()
		mu.Unlock()
		c.Signal(c.Gateways[0], syscall.SIGTERM)
	}
	consumers.Wait()
	record.Logf("%d streams were complete", complete)
	if complete == 0 {
		return "", fmt.Errorf("no stream was complete")
	}
	return strings.Join(broken, "; "), nil
}

// warmUp sends requests until one is served.
func warmUp(front string) error {
	for i := range 40 {
		ch, err := reviewkit.Dial(front)
		if err != nil {
			return err
		}
		result := ch.Do(reviewkit.Request{
			Method: "POST", Host: "press.example", Path: "/draft/w", ID: fmt.Sprintf("warm-%d", i), Body: "{}", Budget: 8 * time.Second,
		})
		ch.Close()
		if result.Status == 200 {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("no request was served")
}
