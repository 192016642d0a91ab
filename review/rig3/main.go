//go:build review

// Command rig3 plays the cases of the third review: it starts the project's own programs as separate processes
// on loopback addresses and takes the parts of the platform, the runners and the consumers.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// cases holds the cases by name. Each returns the violations that it saw.
var cases = map[string]func(c *cluster, trouble bool) ([]string, error){
	"popular-request": playPopularRequest,
	"early-deadline":  playEarlyDeadline,
	"two-models":      playTwoModels,
	"early-leave":     playEarlyLeave,
	"late-order":      playLateOrder,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD")
		os.Exit(exitCannotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(run func(c *cluster, trouble bool) ([]string, error), file string, trouble bool) int {
	c, err := newCluster(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		c.close()
		os.Exit(exitCannotRun)
	}()
	defer c.close()
	c.logf("trouble=%t", trouble)
	violations, err := run(c, trouble)
	if err == nil {
		err = c.check()
	}
	if err != nil {
		c.logf("the case could not run: %v", err)
		return exitCannotRun
	}
	for _, v := range violations {
		c.logf("BROKEN %s", v)
	}
	if len(violations) > 0 {
		return exitBroken
	}
	c.logf("the rule held")
	return exitHeld
}
