package coltsjournal

// A snapshot is written aside, synced and renamed, so that a crash leaves either
// the old one or the new one whole.

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

const (
	snapshotPrefix = "snapshot-"
	snapshotSuffix = ".state"
	asideSuffix    = ".aside"
	// checksumBytes end a snapshot's file.
	checksumBytes = 4
)

// SaveSnapshot makes content durable as the state after the record of the given
// number, and removes older snapshots.
func (j *Journal) SaveSnapshot(number uint64, content []byte) error {
	name := fmt.Sprintf("%s%020d%s", snapshotPrefix, number, snapshotSuffix)
	content = binary.LittleEndian.AppendUint32(slices.Clip(content), crc32.Checksum(content, castagnoli))
	if err := WriteFileAtomic(j.cfg, name, content); err != nil {
		return err
	}
	return j.removeSnapshotsBefore(number)
}

// WriteFileAtomic makes a file of the folder durable with some content, whole or not at
// all. The folder is made if it is missing.
func WriteFileAtomic(cfg Config, name string, content []byte) error {
	cfg = cfg.withDefaults()
	if err := os.MkdirAll(cfg.Dir, 0o750); err != nil {
		return errors.Wrap(err, "make folder")
	}
	path := filepath.Join(cfg.Dir, name)
	if err := writeAside(cfg, path+asideSuffix, content); err != nil {
		return err
	}
	if err := os.Rename(path+asideSuffix, path); err != nil {
		return errors.Wrapf(err, "rename %s", name)
	}
	return syncDir(cfg.Dir, cfg.Sync)
}

func writeAside(cfg Config, path string, content []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o640)
	if err != nil {
		return errors.Wrap(err, "make file")
	}
	_, err = cfg.Write(f, content)
	if err == nil {
		err = cfg.Sync(f)
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "write file")
}

func (j *Journal) removeSnapshotsBefore(number uint64) error {
	numbers, err := listSnapshots(j.cfg.Dir)
	if err != nil {
		return err
	}
	for _, n := range numbers {
		if n >= number {
			continue
		}
		if err := os.Remove(snapshotPath(j.cfg.Dir, n)); err != nil {
			return errors.Wrap(err, "remove snapshot")
		}
	}
	return nil
}

// LoadSnapshot returns the newest snapshot of a folder and its number, or number
// 0 if there is none. It returns a CorruptError if the newest one is damaged.
func LoadSnapshot(dir string) (uint64, []byte, error) {
	numbers, err := listSnapshots(dir)
	if err != nil || len(numbers) == 0 {
		return 0, nil, err
	}
	newest := slices.Max(numbers)
	path := snapshotPath(dir, newest)
	content, err := os.ReadFile(path)
	if err != nil {
		return 0, nil, errors.Wrap(err, "read snapshot")
	}
	if len(content) < checksumBytes {
		return 0, nil, &CorruptError{File: path}
	}
	end := len(content) - checksumBytes
	sum := binary.LittleEndian.Uint32(content[end:])
	if crc32.Checksum(content[:end], castagnoli) != sum {
		return 0, nil, &CorruptError{File: path}
	}
	return newest, content[:end], nil
}

func snapshotPath(dir string, number uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%s%020d%s", snapshotPrefix, number, snapshotSuffix))
}

// listSnapshots returns the numbers of the whole snapshots. One that was left
// aside by a crash is not among them.
func listSnapshots(dir string) ([]uint64, error) {
	entries, err := os.ReadDir(dir)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "list snapshots")
	}
	var numbers []uint64
	for _, e := range entries {
		if !strings.HasPrefix(e.Name(), snapshotPrefix) || !strings.HasSuffix(e.Name(), snapshotSuffix) {
			continue
		}
		var n uint64
		if _, err := fmt.Sscanf(e.Name(), snapshotPrefix+"%d"+snapshotSuffix, &n); err == nil {
			numbers = append(numbers, n)
		}
	}
	return numbers, nil
}
