package coltsjournal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// openJournal opens a journal and returns the records that it replayed.
func openJournal(t *testing.T, cfg Config) (*Journal, []string) {
	t.Helper()
	var replayed []string
	j, err := Open(cfg, func(_ uint64, r []byte) error {
		replayed = append(replayed, string(r))
		return nil
	})
	assert.NilError(t, err)
	return j, replayed
}

// writeJournal appends records to a journal, each in its own frame, and closes it.
// If cfg has no directory, it uses a temporary one. It returns the configuration.
func writeJournal(t *testing.T, cfg Config, records ...string) Config {
	t.Helper()
	if cfg.Dir == "" {
		cfg.Dir = t.TempDir()
	}
	j, _ := openJournal(t, cfg)
	for _, r := range records {
		assert.NilError(t, j.Append([]byte(r)))
	}
	assert.NilError(t, j.Close())
	return cfg
}

// assertRecords checks that opening the journal replays exactly the wanted records.
func assertRecords(t *testing.T, cfg Config, want ...string) {
	t.Helper()
	j, replayed := openJournal(t, cfg)
	assert.DeepEqual(t, replayed, want)
	assert.NilError(t, j.Close())
}

// assertCorrupt checks that opening the journal fails with a CorruptError.
func assertCorrupt(t *testing.T, cfg Config) {
	t.Helper()
	_, err := Open(cfg, func(uint64, []byte) error { return nil })
	var corrupt *CorruptError
	assert.Assert(t, errors.As(err, &corrupt), "%v", err)
}

// rewriteNewestSegment replaces the content of the newest segment with the result
// of fn.
func rewriteNewestSegment(t *testing.T, cfg Config, fn func([]byte) []byte) {
	t.Helper()
	segments, err := listSegments(cfg.Dir)
	assert.NilError(t, err)
	path := segments[len(segments)-1].path
	content, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(path, fn(content), 0o600))
}

func TestJournal(t *testing.T) {
	t.Run("records are replayed in order", func(t *testing.T) {
		assertRecords(t, writeJournal(t, Config{}, "a", "b", "c"), "a", "b", "c")
	})
	t.Run("records in many segments are replayed in order", func(t *testing.T) {
		assertRecords(t, writeJournal(t, Config{SegmentBytes: 16}, "a", "b", "c"), "a", "b", "c")
	})
	t.Run("a frame torn at any byte is removed", func(t *testing.T) {
		untouched := writeJournal(t, Config{}, "first", "second")
		size := len(appendFrame(nil, [][]byte{[]byte("second")}))
		for cut := 1; cut <= size; cut++ {
			cfg := writeJournal(t, Config{}, "first", "second")
			rewriteNewestSegment(t, cfg, func(b []byte) []byte { return b[:len(b)-cut] })
			assertRecords(t, cfg, "first")
			writeJournal(t, cfg, "third")
			assertRecords(t, cfg, "first", "third")
		}
		assertRecords(t, untouched, "first", "second")
	})
	t.Run("a frame with missing sectors is removed", func(t *testing.T) {
		long := fmt.Sprintf("%04096d", 7)
		cfg := writeJournal(t, Config{}, "first", long)
		rewriteNewestSegment(t, cfg, func(b []byte) []byte {
			clear(b[len(b)-1024:])
			return b
		})
		assertRecords(t, cfg, "first")
	})
	t.Run("a flipped bit in a durable record is corruption", func(t *testing.T) {
		size := len(appendFrame(nil, [][]byte{[]byte("first"), []byte("second")}))
		for offset := 1; offset <= size; offset++ {
			cfg := writeJournal(t, Config{}, "first", "second")
			rewriteNewestSegment(t, cfg, func(b []byte) []byte {
				b[len(b)-offset] ^= 1
				return b
			})
			assertCorrupt(t, cfg)
		}
	})
	t.Run("a missing segment is corruption", func(t *testing.T) {
		cfg := writeJournal(t, Config{SegmentBytes: 16}, "a", "b", "c")
		segments, err := listSegments(cfg.Dir)
		assert.NilError(t, err)
		assert.NilError(t, os.Remove(segments[1].path))
		assertCorrupt(t, cfg)
	})
	t.Run("a directory can't be opened twice", func(t *testing.T) {
		cfg := Config{Dir: t.TempDir()}
		j, _ := openJournal(t, cfg)
		_, err := Open(cfg, func(uint64, []byte) error { return nil })
		var locked *LockedError
		assert.Assert(t, errors.As(err, &locked))
		assert.NilError(t, j.Close())
	})
	t.Run("concurrent appends share a sync", func(t *testing.T) {
		release := make(chan struct{})
		cfg := Config{Dir: t.TempDir()}
		j, _ := openJournal(t, cfg)
		j.files.cfg.Sync = func(f *os.File) error {
			<-release
			return f.Sync()
		}
		var wg sync.WaitGroup
		for i := range 50 {
			wg.Go(func() { assert.Check(t, j.Append(fmt.Append(nil, i))) })
		}
		close(release)
		wg.Wait()
		assert.Assert(t, j.Stats().Syncs < 50)
		assert.Equal(t, j.Stats().Records, uint64(50))
		assert.NilError(t, j.Close())
	})
}

// refusingDisk is a disk that refuses writes or syncs while it is told to. A refused write leaves a part
// of its bytes behind.
type refusingDisk struct {
	refusesWrites, refusesSyncs bool
	// written is what was written last.
	written []byte
}

// config returns a configuration with a directory on the disk.
func (d *refusingDisk) config(t *testing.T) Config {
	t.Helper()
	return Config{
		Dir: t.TempDir(),
		Write: func(f *os.File, b []byte) (int, error) {
			if d.refusesWrites {
				n, _ := f.Write(b[:len(b)/2])
				return n, syscall.ENOSPC
			}
			d.written = slices.Clone(b)
			return f.Write(b)
		},
		Sync: func(f *os.File) error {
			if d.refusesSyncs {
				return syscall.EIO
			}
			return f.Sync()
		},
	}
}

// refuse makes the disk refuse calls of a kind.
func (d *refusingDisk) refuse(call string) {
	d.refusesWrites, d.refusesSyncs = call == "write", call == "sync"
}

// TestJournalRefused guards against records that were never acknowledged and come back, and against a
// journal that accepts nothing more although its disk does.
func TestJournalRefused(t *testing.T) {
	for _, call := range []string{"write", "sync"} {
		for name, segmentBytes := range map[string]int64{"": 0, " of the first record of a segment": 16} {
			t.Run("while the disk refuses each "+call+name+", each append fails", func(t *testing.T) {
				disk := &refusingDisk{}
				cfg := disk.config(t)
				cfg.SegmentBytes = segmentBytes
				j, _ := openJournal(t, cfg)
				assert.NilError(t, j.Append([]byte("kept")))
				disk.refuse(call)
				for range 3 {
					assertBroken(t, j.Append([]byte("lost")))
				}
				disk.refuse("")
				assert.NilError(t, j.Recover())
				assert.NilError(t, j.Append([]byte("later")))
				assert.NilError(t, j.Close())
				assertBroken(t, j.Append([]byte("after the end")))
				assertRecords(t, cfg, "kept", "later")
			})
		}
		t.Run("a journal that is opened while the disk refuses each "+call+" is read, and written later", func(t *testing.T) {
			disk := &refusingDisk{}
			cfg := writeJournal(t, disk.config(t), "kept", "torn")
			rewriteNewestSegment(t, cfg, func(b []byte) []byte { return b[:len(b)-1] })
			disk.refuse(call)
			j, replayed := openJournal(t, cfg)
			assert.DeepEqual(t, replayed, []string{"kept"})
			assertBroken(t, j.Recover())
			assertBroken(t, j.Append([]byte("lost")))
			disk.refuse("")
			assert.NilError(t, j.Append([]byte("later")))
			assert.NilError(t, j.Close())
			assertRecords(t, cfg, "kept", "later")
		})
		t.Run("an empty directory on a disk that refuses each "+call+" becomes a journal later", func(t *testing.T) {
			disk := &refusingDisk{}
			disk.refuse(call)
			cfg := disk.config(t)
			j, _ := openJournal(t, cfg)
			assertBroken(t, j.Append([]byte("lost")))
			assert.NilError(t, j.Close())
			j, _ = openJournal(t, cfg)
			disk.refuse("")
			assert.NilError(t, j.Append([]byte("first")))
			assert.NilError(t, j.Close())
			assertRecords(t, cfg, "first")
		})
		t.Run("a snapshot that the disk refuses by a "+call+" leaves no file", func(t *testing.T) {
			disk := &refusingDisk{}
			cfg := writeJournal(t, disk.config(t), "kept")
			j, _ := openJournal(t, cfg)
			disk.refuse(call)
			assert.Assert(t, j.SaveSnapshot(1, []byte("state")) != nil)
			files, err := filepath.Glob(filepath.Join(cfg.Dir, "snapshot-*"))
			assert.NilError(t, err)
			assert.Equal(t, len(files), 0, "%v", files)
			assert.NilError(t, j.Close())
		})
	}
	t.Run("the last frame is written again at the start, as its sync may have failed", func(t *testing.T) {
		disk := &refusingDisk{}
		cfg := writeJournal(t, disk.config(t), "first", "last")
		disk.written = nil
		assertRecords(t, cfg, "first", "last")
		assert.DeepEqual(t, disk.written, appendFrame(nil, [][]byte{[]byte("last")}))
		assertRecords(t, cfg, "first", "last")
	})
}

// assertBroken checks that err is a BrokenError.
func assertBroken(t *testing.T, err error) {
	t.Helper()
	var broken *BrokenError
	assert.Assert(t, errors.As(err, &broken), "%v", err)
}

func TestSnapshot(t *testing.T) {
	t.Run("the newest snapshot is loaded and old segments are removed", func(t *testing.T) {
		cfg := Config{Dir: t.TempDir(), SegmentBytes: 16}
		j, _ := openJournal(t, cfg)
		for _, r := range []string{"a", "b", "c"} {
			assert.NilError(t, j.Append([]byte(r)))
		}
		assert.NilError(t, j.SaveSnapshot(1, []byte("after a")))
		assert.NilError(t, j.SaveSnapshot(2, []byte("after b")))
		assert.NilError(t, j.RemoveSegmentsBefore(3))
		assert.NilError(t, j.Close())
		number, content, err := LoadSnapshot(cfg.Dir)
		assert.NilError(t, err)
		assert.Equal(t, number, uint64(2))
		assert.Equal(t, string(content), "after b")
		assertRecords(t, cfg, "c")
	})
	t.Run("an incomplete snapshot file is ignored", func(t *testing.T) {
		dir := t.TempDir()
		assert.NilError(t, os.WriteFile(filepath.Join(dir, "snapshot-7.state.aside"), []byte("half"), 0o600))
		number, _, err := LoadSnapshot(dir)
		assert.NilError(t, err)
		assert.Equal(t, number, uint64(0))
	})
	t.Run("a corrupt snapshot is rejected", func(t *testing.T) {
		cfg := writeJournal(t, Config{})
		j, _ := openJournal(t, cfg)
		assert.NilError(t, j.SaveSnapshot(1, []byte("whole")))
		assert.NilError(t, j.Close())
		path := snapshotPath(cfg.Dir, 1)
		assert.NilError(t, os.WriteFile(path, []byte("hwole1234"), 0o600))
		_, _, err := LoadSnapshot(cfg.Dir)
		var corrupt *CorruptError
		assert.Assert(t, errors.As(err, &corrupt))
	})
}
