package coltscontrol

// While its disk refuses writes an instance acknowledges nothing, says so, and takes part again by itself.

import (
	"context"
	"errors"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsbooking"
	"coltsfootstall/coltsidentity"
	"coltsfootstall/coltsjournal"
	"coltsfootstall/coltslog"
	"coltsfootstall/coltsmetric"
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
	return startControlSyncing(t, folder, journalBytes, func(f *os.File) error {
		if failing.Load() {
			return errors.New("no space left on device")
		}
		return f.Sync()
	})
}

// startControlSyncing is like startControlWith with a function that flushes files.
func startControlSyncing(t *testing.T, folder string, journalBytes int, sync func(*os.File) error) *Control {
	t.Helper()
	settings := coltssettings.Default()
	settings.Control.JournalBytes, settings.Control.SegmentBytes = journalBytes, journalBytes/4
	settings.Control.Addr = netip.MustParseAddrPort("127.0.0.1:0")
	settings.Control.OperatorAddr = settings.Control.Addr
	settings.Control.DataFolder = folder
	c, err := New(Config{Settings: settings, Log: coltslog.Discard(), Sync: sync})
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

// assertRefused asserts that a command is refused at once because the disk refuses writes.
func assertRefused(t *testing.T, c *Control) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := c.driver.submit(ctx, coltsstate.Command{Kind: coltsstate.CommandUsage})
	var refused *DiskError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
}

// assertGranted asserts that a grant is acknowledged.
func assertGranted(t *testing.T, c *Control, key string, number coltsbooking.GrantNumber) {
	t.Helper()
	result, err := grant(t, c, key)
	assert.NilError(t, err)
	assert.Equal(t, result.Decision.Record.Grant, number)
}

// awaitWritable waits until the disk of an instance counts as accepting writes.
func awaitWritable(t *testing.T, c *Control) {
	t.Helper()
	for deadline := time.Now().Add(conditionTimeout); c.driver.view.Load().diskFailed; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline))
	}
}

// assertDiskReported asserts what an instance says of its disk.
func assertDiskReported(t *testing.T, c *Control, refuses bool, failures int64) {
	t.Helper()
	assert.Equal(t, c.driver.view.Load().diskFailed, refuses)
	assert.Equal(t, c.Metrics().Get(coltsmetric.DiskRefuses) == 1, refuses)
	assert.Equal(t, c.Metrics().Get(coltsmetric.DiskFailures), failures)
	if refuses {
		assert.Assert(t, !c.stateFresh())
		assert.Assert(t, !c.Leads())
	}
}

// TestDiskFails guards against instances that end or acknowledge what they have not stored because a disk
// is full, and that need a restart when it has room again (review/8).
func TestDiskFails(t *testing.T) {
	folder := t.TempDir()
	var failing atomic.Bool
	c := startControl(t, folder, &failing)
	assertGranted(t, c, "kept", 1)
	failing.Store(true)
	t.Run("nothing is acknowledged while the disk refuses writes", func(t *testing.T) {
		_, err := grant(t, c, "lost")
		assert.Assert(t, err != nil)
		assertRefused(t, c)
	})
	t.Run("the instance reports it, and does not lead", func(t *testing.T) {
		assertDiskReported(t, c, true, 1)
	})
	failing.Store(false)
	t.Run("it takes part again by itself", func(t *testing.T) {
		awaitWritable(t, c)
		awaitLeading(t, c)
		assertDiskReported(t, c, false, 1)
		_, err := grant(t, c, "later")
		assert.NilError(t, err)
	})
	t.Run("a restart keeps what was acknowledged", func(t *testing.T) {
		assert.NilError(t, c.Shutdown())
		c = startControl(t, folder, &failing)
		assertGranted(t, c, "kept", 1)
		assert.NilError(t, c.Shutdown())
	})
	t.Run("an instance that starts on a full disk is up and takes part once there is room", func(t *testing.T) {
		failing.Store(true)
		c = startControl(t, folder, &failing)
		defer func() { assert.NilError(t, c.Shutdown()) }()
		for deadline := time.Now().Add(conditionTimeout); !c.driver.view.Load().diskFailed; time.Sleep(time.Millisecond) {
			assert.Assert(t, time.Now().Before(deadline))
		}
		assertRefused(t, c)
		assertDiskReported(t, c, true, 1)
		failing.Store(false)
		awaitWritable(t, c)
		assertGranted(t, c, "kept", 1)
	})
	t.Run("an instance that is stopped while the disk is full stops", func(t *testing.T) {
		c = startControl(t, folder, &failing)
		assertGranted(t, c, "kept", 1)
		failing.Store(true)
		_, err := grant(t, c, "lost as well")
		assert.Assert(t, err != nil)
		assert.NilError(t, c.Shutdown())
	})
}

// TestFirstStartOnFullDisk guards against a process that ends again and again because the disk on which it
// starts for the first time is full.
func TestFirstStartOnFullDisk(t *testing.T) {
	var failing atomic.Bool
	settings := coltssettings.Default()
	settings.Control.DataFolder = t.TempDir()
	settings.Control.Seeds = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}
	cfg := Config{Settings: settings, Log: coltslog.Discard(), Sync: func(f *os.File) error {
		if failing.Load() {
			return syscall.ENOSPC
		}
		return f.Sync()
	}}
	failing.Store(true)
	t.Run("it waits until it is stopped", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*diskRetryPeriod/2)
		defer cancel()
		_, err := Open(ctx, cfg)
		assert.Assert(t, coltsjournal.IsRefused(err))
		assert.Assert(t, ctx.Err() != nil, "it has ended before")
	})
	t.Run("it starts once there is room", func(t *testing.T) {
		time.AfterFunc(diskRetryPeriod, func() { failing.Store(false) })
		c, err := Open(context.Background(), cfg)
		assert.NilError(t, err)
		assert.NilError(t, c.driver.close())
	})
	t.Run("other errors end the start", func(t *testing.T) {
		cfg.Settings.Control.InitialDocument = "/does/not/exist"
		_, err := Open(context.Background(), cfg)
		assert.Assert(t, err != nil)
	})
}

// TestSnapshotOnFullDisk guards against a journal that grows on because a snapshot was due while there was
// no room for it.
func TestSnapshotOnFullDisk(t *testing.T) {
	const journalBytes, tableBytes = 64 << 10, 20 << 10
	folder := t.TempDir()
	// refused is the part of the names of files that find no room.
	var refused atomic.Pointer[string]
	c := startControlSyncing(t, folder, journalBytes, func(f *os.File) error {
		if name := refused.Load(); name != nil && strings.Contains(f.Name(), *name) {
			return syscall.ENOSPC
		}
		return f.Sync()
	})
	defer func() { assert.NilError(t, c.Shutdown()) }()
	version := 0
	put := func(n int) {
		for range n {
			version++
			putLongTable(t, c, version, tableBytes)
		}
	}
	snapshots := func() int64 { return c.Metrics().Get(coltsmetric.Snapshots) }
	name := "snapshot-"
	refused.Store(&name)
	put(12)
	t.Run("commands are acknowledged meanwhile", func(t *testing.T) {
		assert.Equal(t, snapshots(), int64(0))
		assertDiskReported(t, c, false, 0)
		assert.Assert(t, folderBytes(t, folder) >= 12*tableBytes)
	})
	refused.Store(nil)
	t.Run("it is written when there is room, without further commands", func(t *testing.T) {
		for deadline := time.Now().Add(conditionTimeout); folderBytes(t, folder) > 4*journalBytes || snapshots() == 0; time.Sleep(time.Millisecond) {
			assert.Assert(t, time.Now().Before(deadline), "%d bytes, %d snapshots", folderBytes(t, folder), snapshots())
		}
	})
}
