package coltscontrol

// After a disk failure an instance must acknowledge nothing more, and must report the failure.

import (
	"context"
	"errors"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsbooking"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltssettings"
	"coltsfootstall/coltsstate"
)

const conditionTimeout = 20 * time.Second

// startControl starts a group of one instance on a data folder. While failing is true, its syncs fail.
func startControl(t *testing.T, folder string, failing *atomic.Bool) *Control {
	t.Helper()
	return startControlWith(t, folder, failing, coltssettings.Default().Control.JournalBytes)
}

// startControlWith is like startControl with a bound for the journal.
func startControlWith(t *testing.T, folder string, failing *atomic.Bool, journalBytes int) *Control {
	t.Helper()
	settings := coltssettings.Default()
	settings.Control.JournalBytes, settings.Control.SegmentBytes = journalBytes, journalBytes/4
	settings.Control.Addr = netip.MustParseAddrPort("127.0.0.1:0")
	settings.Control.OperatorAddr = settings.Control.Addr
	settings.Control.DataFolder = folder
	c, err := New(Config{Settings: settings, Log: coltslog.Discard(), Sync: func(f *os.File) error {
		if failing.Load() {
			return errors.New("no space left on device")
		}
		return f.Sync()
	}})
	assert.NilError(t, err)
	assert.NilError(t, c.Start())
	return c
}

// grant requests a grant until the leader has answered, its disk has failed or the time is up.
func grant(t *testing.T, c *Control, key string) (coltsstate.Result, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	for {
		result, err := c.driver.submit(ctx, coltsstate.Command{
			Kind: coltsstate.CommandGrant,
			Grant: coltsbooking.Request{
				Key:       coltsbooking.Key{Organisation: "acme", Key: coltsidentity.IdempotencyKey(key)},
				RequestID: coltsidentity.Request{1},
			},
		})
		if err == nil || ctx.Err() != nil || c.driver.view.Load().diskFailed {
			return result, err
		}
		time.Sleep(time.Millisecond)
	}
}

func TestDiskFails(t *testing.T) {
	folder := t.TempDir()
	var failing atomic.Bool
	c := startControl(t, folder, &failing)
	result, err := grant(t, c, "kept")
	assert.NilError(t, err)
	assert.Assert(t, result.Decision.Granted)
	failing.Store(true)

	t.Run("nothing is acknowledged after the failure", func(t *testing.T) {
		_, err := grant(t, c, "lost")
		assert.Assert(t, err != nil)
		failing.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err = c.driver.submit(ctx, coltsstate.Command{Kind: coltsstate.CommandUsage})
		assert.Assert(t, err != nil, "a command was acknowledged once the disk worked again")
	})
	t.Run("the instance reports the failure", func(t *testing.T) {
		assert.Assert(t, !c.stateFresh())
		assert.Assert(t, c.driver.view.Load().diskFailed)
	})
	t.Run("a restart keeps what was acknowledged", func(t *testing.T) {
		assert.NilError(t, c.Shutdown())
		restarted := startControl(t, folder, &failing)
		defer func() { assert.NilError(t, restarted.Shutdown()) }()
		result, err := grant(t, restarted, "kept")
		assert.NilError(t, err)
		assert.Equal(t, result.Decision.Record.Grant, coltsbooking.GrantNumber(1))
	})
}
