package coltscontrol

// Guards against a journal that fills the disk with few long commands, because only their number makes
// a snapshot due.

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootstall/coltsroute"
	"coltsfootstall/coltsstate"
)

// putLongTable commits a route table with a text of the given length, which is not decoded here.
func putLongTable(t *testing.T, c *Control, version, length int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	for {
		_, err := c.driver.submit(ctx, coltsstate.Command{
			Kind:   coltsstate.CommandRoutes,
			Routes: coltsroute.EncodedTable{Version: coltsroute.Version(version), Source: bytes.Repeat([]byte{byte(version)}, length)},
		})
		if err == nil {
			return
		}
		assert.NilError(t, ctx.Err())
		time.Sleep(time.Millisecond)
	}
}

// awaitLeading waits until an instance leads and has applied all that is committed.
func awaitLeading(t *testing.T, c *Control) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	for c.driver.barrier(ctx) != nil {
		assert.NilError(t, ctx.Err())
		time.Sleep(time.Millisecond)
	}
}

// folderBytes returns the total size of the files in a folder.
func folderBytes(t *testing.T, folder string) int {
	t.Helper()
	total := 0
	files, err := filepath.Glob(filepath.Join(folder, "*"))
	assert.NilError(t, err)
	for _, file := range files {
		// A file that was just removed has no size.
		if info, err := os.Stat(file); err == nil {
			total += int(info.Size())
		}
	}
	return total
}

func TestJournalBytes(t *testing.T) {
	const journalBytes, tableBytes, tables = 128 << 10, 20 << 10, 200
	folder := t.TempDir()
	var failing atomic.Bool
	c := startControlWith(t, folder, &failing, journalBytes)
	most := 0
	for version := 1; version <= tables; version++ {
		putLongTable(t, c, version, tableBytes)
		most = max(most, folderBytes(t, folder))
	}
	t.Run("the folder stays small however long the commands are", func(t *testing.T) {
		assert.Assert(t, most < 6*journalBytes, "%d bytes", most)
	})
	t.Run("few of the commands that a snapshot covers stay in memory", func(t *testing.T) {
		assert.NilError(t, c.Shutdown())
		kept := 0
		for _, e := range c.driver.replica.RetainedEntries() {
			kept += len(e.Data)
		}
		assert.Assert(t, kept < 4*journalBytes, "%d bytes", kept)
	})
	t.Run("a restart keeps the newest", func(t *testing.T) {
		restarted := startControlWith(t, folder, &failing, journalBytes)
		defer func() { assert.NilError(t, restarted.Shutdown()) }()
		awaitLeading(t, restarted)
		assert.Equal(t, restarted.machine.Routes().Version, coltsroute.Version(tables))
	})
}
