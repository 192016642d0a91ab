package coltsjournal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// open opens a journal and returns the records that it replayed.
func open(t *testing.T, cfg Config) (*Journal, []string) {
	t.Helper()
	var replayed []string
	j, err := Open(cfg, func(_ uint64, r []byte) error {
		replayed = append(replayed, string(r))
		return nil
	})
	assert.NilError(t, err)
	return j, replayed
}

// written returns a folder that holds records, each in a frame of its own.
func written(t *testing.T, cfg Config, records ...string) Config {
	t.Helper()
	if cfg.Dir == "" {
		cfg.Dir = t.TempDir()
	}
	j, _ := open(t, cfg)
	for _, r := range records {
		assert.NilError(t, j.Append([]byte(r)))
	}
	assert.NilError(t, j.Close())
	return cfg
}

func assertHolds(t *testing.T, cfg Config, want ...string) {
	t.Helper()
	j, replayed := open(t, cfg)
	assert.DeepEqual(t, replayed, want)
	assert.NilError(t, j.Close())
}

func assertCorrupt(t *testing.T, cfg Config) {
	t.Helper()
	_, err := Open(cfg, func(uint64, []byte) error { return nil })
	var corrupt *CorruptError
	assert.Assert(t, errors.As(err, &corrupt), "%v", err)
}

// change rewrites the newest segment.
func change(t *testing.T, cfg Config, fn func([]byte) []byte) {
	t.Helper()
	segments, err := listSegments(cfg.Dir)
	assert.NilError(t, err)
	path := segments[len(segments)-1].path
	content, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(path, fn(content), 0o600))
}

func TestJournal(t *testing.T) {
	t.Run("records survive in order", func(t *testing.T) {
		assertHolds(t, written(t, Config{}, "a", "b", "c"), "a", "b", "c")
	})
	t.Run("records survive over many segments", func(t *testing.T) {
		assertHolds(t, written(t, Config{SegmentBytes: 16}, "a", "b", "c"), "a", "b", "c")
	})
	t.Run("a torn frame is cut at every byte", func(t *testing.T) {
		whole := written(t, Config{}, "first", "second")
		size := len(appendFrame(nil, [][]byte{[]byte("second")}))
		for cut := 1; cut <= size; cut++ {
			cfg := written(t, Config{}, "first", "second")
			change(t, cfg, func(b []byte) []byte { return b[:len(b)-cut] })
			assertHolds(t, cfg, "first")
			written(t, cfg, "third")
			assertHolds(t, cfg, "first", "third")
		}
		assertHolds(t, whole, "first", "second")
	})
	t.Run("a frame of which sectors are missing is cut", func(t *testing.T) {
		long := fmt.Sprintf("%04096d", 7)
		cfg := written(t, Config{}, "first", long)
		change(t, cfg, func(b []byte) []byte {
			clear(b[len(b)-1024:])
			return b
		})
		assertHolds(t, cfg, "first")
	})
	t.Run("a flipped bit in a durable record is damage", func(t *testing.T) {
		size := len(appendFrame(nil, [][]byte{[]byte("first"), []byte("second")}))
		for offset := 1; offset <= size; offset++ {
			cfg := written(t, Config{}, "first", "second")
			change(t, cfg, func(b []byte) []byte {
				b[len(b)-offset] ^= 1
				return b
			})
			assertCorrupt(t, cfg)
		}
	})
	t.Run("a missing segment is damage", func(t *testing.T) {
		cfg := written(t, Config{SegmentBytes: 16}, "a", "b", "c")
		segments, err := listSegments(cfg.Dir)
		assert.NilError(t, err)
		assert.NilError(t, os.Remove(segments[1].path))
		assertCorrupt(t, cfg)
	})
	t.Run("one process uses a folder", func(t *testing.T) {
		cfg := Config{Dir: t.TempDir()}
		j, _ := open(t, cfg)
		_, err := Open(cfg, func(uint64, []byte) error { return nil })
		var locked *LockedError
		assert.Assert(t, errors.As(err, &locked))
		assert.NilError(t, j.Close())
	})
	t.Run("appends share a sync", func(t *testing.T) {
		gate := make(chan struct{})
		cfg := Config{Dir: t.TempDir()}
		j, _ := open(t, cfg)
		j.files.cfg.Sync = func(f *os.File) error {
			<-gate
			return f.Sync()
		}
		var wg sync.WaitGroup
		for i := range 50 {
			wg.Go(func() { assert.Check(t, j.Append(fmt.Append(nil, i))) })
		}
		close(gate)
		wg.Wait()
		assert.Assert(t, j.Stats().Syncs < 50)
		assert.Equal(t, j.Stats().Records, uint64(50))
		assert.NilError(t, j.Close())
	})
}

func TestJournalStopsAfterError(t *testing.T) {
	for _, failing := range []string{"write", "sync"} {
		t.Run("after a failed "+failing+" nothing is acknowledged", func(t *testing.T) {
			broken := false
			cfg := Config{
				Dir: t.TempDir(),
				Write: func(f *os.File, b []byte) (int, error) {
					if broken && failing == "write" {
						return 0, errors.New("no space left on device")
					}
					return f.Write(b)
				},
				Sync: func(f *os.File) error {
					if broken && failing == "sync" {
						return errors.New("input/output error")
					}
					return f.Sync()
				},
			}
			j, _ := open(t, cfg)
			assert.NilError(t, j.Append([]byte("kept")))
			broken = true
			assertBroken(t, j.Append([]byte("lost")))
			broken = false
			assertBroken(t, j.Append([]byte("later")))
			assert.NilError(t, j.Close())
		})
	}
}

func assertBroken(t *testing.T, err error) {
	t.Helper()
	var broken *BrokenError
	assert.Assert(t, errors.As(err, &broken), "%v", err)
}

func TestSnapshot(t *testing.T) {
	t.Run("the newest snapshot is loaded and old segments go", func(t *testing.T) {
		cfg := Config{Dir: t.TempDir(), SegmentBytes: 16}
		j, _ := open(t, cfg)
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
		assertHolds(t, cfg, "c")
	})
	t.Run("a snapshot that was left aside is passed over", func(t *testing.T) {
		dir := t.TempDir()
		assert.NilError(t, os.WriteFile(filepath.Join(dir, "snapshot-7.state.aside"), []byte("half"), 0o600))
		number, _, err := LoadSnapshot(dir)
		assert.NilError(t, err)
		assert.Equal(t, number, uint64(0))
	})
	t.Run("a damaged snapshot is not used", func(t *testing.T) {
		cfg := written(t, Config{})
		j, _ := open(t, cfg)
		assert.NilError(t, j.SaveSnapshot(1, []byte("whole")))
		assert.NilError(t, j.Close())
		path := snapshotPath(cfg.Dir, 1)
		assert.NilError(t, os.WriteFile(path, []byte("hwole1234"), 0o600))
		_, _, err := LoadSnapshot(cfg.Dir)
		var corrupt *CorruptError
		assert.Assert(t, errors.As(err, &corrupt))
	})
}
