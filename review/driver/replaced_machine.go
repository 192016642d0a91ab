//go:build review

package main

// A control machine is replaced by plan, and then two others lose their disks, which is what may be lost at
// once.

import (
	"fmt"
	"syscall"
	"time"

	"coltsfootstall/review/reviewkit"
)

const (
	replacedSync = 4 * time.Second // syncS
	// replacedMargin is how much longer than syncS the new machine has run when the old one is stopped.
	replacedMargin = 2 * time.Second
	// replacedPause is the time between the exit of the replaced machine and the loss of the two others, and
	// replacedDown how long those are down.
	replacedPause = time.Second
	replacedDown  = time.Second
	// replacedRecover is recoveryS, replacedReadBack how long the operator asks for the config after that.
	replacedRecover  = 12 * time.Second
	replacedReadBack = 30 * time.Second
)

// replacedMachine checks the rule LOST after a planned replacement and the loss of two disks.
func replacedMachine(binary string, record *reviewkit.Record, trouble bool) (string, error) {
	c, err := reviewkit.Start(reviewkit.Config{Binary: binary, Record: record, Controls: 5, Gateways: 2, Tolerated: 2})
	if c != nil {
		defer c.Stop()
	}
	if err != nil {
		return "", err
	}
	newest := bookTable(7)
	if err := c.Call("/v1/config/put", newest, 20*time.Second); err != nil {
		return "", err
	}
	time.Sleep(reviewkit.Contact)
	successor, err := c.AddControl()
	if err != nil {
		return "", err
	}
	record.Logf("%s is to replace %s", successor.Name, c.Controls[4].Name)
	time.Sleep(replacedSync + replacedMargin)
	newest = bookTable(12)
	if err := c.Call("/v1/config/put", newest, 20*time.Second); err != nil {
		return "", err
	}
	old := c.Controls[4]
	c.Controls = append(c.Controls[:4:4], successor)
	c.Signal(old, syscall.SIGTERM)
	<-old.Exited()
	record.Logf("%s has exited and does not come back", old.Name)
	time.Sleep(replacedPause)
	if trouble {
		lost := c.Controls[2:4]
		for _, m := range lost {
			c.Signal(m, syscall.SIGKILL)
			<-m.Exited()
		}
		time.Sleep(replacedDown)
		for _, m := range lost {
			record.Logf("%s is back with an empty disk", m.Name)
			if err := c.RestartEmpty(m); err != nil {
				return "", err
			}
		}
	}
	time.Sleep(replacedRecover)
	text, err := c.ReadConfig(replacedReadBack)
	record.Logf("read back: %d bytes, error %v", len(text), err)
	switch {
	case err != nil:
		return fmt.Sprintf("LOST: a config was acknowledged, and %s to %s after the machines are back no machine returns one: %v",
			replacedRecover, replacedRecover+replacedReadBack, err), nil
	case text != newest:
		return "LOST: the config that is read back is not the newest one acknowledged", nil
	}
	return "", nil
}
