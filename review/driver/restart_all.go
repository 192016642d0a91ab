//go:build review

package main

// All processes are killed at the same moment, after a long series of changes, and start again.

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"coltsfootstall/review/reviewkit"
)

const (
	// restartConfigs and restartWeights are the numbers of configs and of weights versions that the operator
	// has acknowledged before.
	restartConfigs = 190
	restartWeights = 20
	// restartDown is how long the processes are down, restartRecover the bound recoveryS.
	restartDown    = 600 * time.Millisecond
	restartRecover = 12 * time.Second
	// restartReadBack is how long the operator asks for the config at the end.
	restartReadBack = 10 * time.Second
	restartProbes   = 40
)

func bookTable(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-book","host":"press.example","pathPrefix":"/draft/","kind":"unsafe",`+
		`"timeoutMs":%d,"goalMs":150,"priority":1,"service":"press","maxAttempts":1,"public":true,"sticky":false,"resumable":false}],`+
		`"services":[{"name":"press","healthPath":"/health","maxConns":96,"protocol":"h1","tls":false}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, version, 4000+version)
}

// restartAll checks the rules LOST and RECOVER around a kill of all processes.
func restartAll(binary string, record *reviewkit.Record, trouble bool) (string, error) {
	c, err := reviewkit.Start(reviewkit.Config{Binary: binary, Record: record, Controls: 5, Gateways: 2, Tolerated: 2})
	if c != nil {
		defer c.Stop()
	}
	if err != nil {
		return "", err
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		reviewkit.Answer(w, req)
		fmt.Fprintln(w, "booked")
	})
	for i := range 2 {
		r := &reviewkit.Runner{ID: fmt.Sprintf("i-%d", i+1), Service: "press", Slots: 6}
		if err := c.StartRunner(101+i, r, handler); err != nil {
			return "", err
		}
		defer r.Close()
	}
	newest := ""
	for version := 1; version <= restartConfigs; version++ {
		newest = bookTable(version)
		if err := c.Call("/v1/config/put", newest, 20*time.Second); err != nil {
			return "", err
		}
	}
	for number := 1; number <= restartWeights; number++ {
		order := fmt.Sprintf(`{"model":"daka510000","version":%d}`, number)
		if err := c.Call("/v1/version-put", order, 20*time.Second); err != nil {
			return "", err
		}
	}
	time.Sleep(reviewkit.Contact)
	before := serveProbes(c, "before")
	record.Logf("%d of %d requests were served before", before, restartProbes)
	if before < restartProbes/2 {
		return "", fmt.Errorf("only %d requests were served before the disruption", before)
	}
	if trouble {
		for _, m := range c.Processes() {
			c.Signal(m, syscall.SIGKILL)
		}
		for _, m := range c.Processes() {
			<-m.Exited()
		}
		time.Sleep(restartDown)
		for _, m := range c.Processes() {
			if err := c.StartProcess(m); err != nil {
				return "", err
			}
		}
	}
	time.Sleep(restartRecover)
	after := serveProbes(c, "after")
	record.Logf("%d of %d requests were served later than recoveryS after the machines were back", after, restartProbes)
	broken := ""
	text, err := c.ReadConfig(restartReadBack)
	record.Logf("read back: %d bytes, error %v", len(text), err)
	switch {
	case err != nil:
		broken = fmt.Sprintf("LOST: version %d was acknowledged, and for %s no machine returns a config: %v", restartConfigs, restartReadBack, err)
	case text != newest:
		broken = "LOST: the config that is read back is not the newest one acknowledged"
	}
	if after < restartProbes/4 {
		broken += fmt.Sprintf("; RECOVER: %d of %d requests were served before and %d after", before, restartProbes, after)
	}
	return broken, nil
}

// serveProbes sends requests to the gateways in turn and returns how many were served.
func serveProbes(c *reviewkit.Cluster, phase string) int {
	served := 0
	for i := range restartProbes {
		front := c.Front(c.Gateways[i%len(c.Gateways)])
		ch, err := reviewkit.Dial(front)
		if err != nil {
			c.Record.Logf("%s %d: %v", phase, i, err)
			continue
		}
		result := ch.Do(reviewkit.Request{
			Method: "POST", Host: "press.example", Path: "/draft/a", ID: fmt.Sprintf("%s-%d", phase, i), Body: "{}", Budget: time.Second,
		})
		ch.Close()
		c.Record.Logf("%s %d: status %d, error %v", phase, i, result.Status, result.Err)
		if result.Err == nil && result.Status == http.StatusOK {
			served++
		}
		time.Sleep(50 * time.Millisecond)
	}
	return served
}
