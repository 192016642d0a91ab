package coltsjournal

// A snapshot is written to a temporary file, synced and renamed, so that after a
// crash either the old or the new snapshot is complete.

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
	tempSuffix     = ".aside"
	// checksumBytes is the size of the checksum at the end of a snapshot file.
	checksumBytes = 4
)

// SaveSnapshot stores content as the snapshot of the state after the record with
// the given number, makes it durable, and removes older snapshots.
func (j *Journal) SaveSnapshot(number uint64, content []byte) error {
	name := fmt.Sprintf("%s%020d%s", snapshotPrefix, number, snapshotSuffix)
	content = binary.LittleEndian.AppendUint32(slices.Clip(content), crc32.Checksum(content, castagnoliTable))
	if err := WriteFileAtomic(j.cfg, name, content); err != nil {
		return err
	}
	return j.removeSnapshotsBefore(number)
}

// WriteFileAtomic atomically creates or replaces a file in the directory and makes it
// durable. The directory is created if it does not exist.
func WriteFileAtomic(cfg Config, name string, content []byte) error {
	cfg = cfg.withDefaults()
	if err := os.MkdirAll(cfg.Dir, 0o750); err != nil {
		return errors.Wrap(err, "create directory")
	}
	path := filepath.Join(cfg.Dir, name)
	if err := writeTempFile(cfg, path+tempSuffix, content); err != nil {
		// What was written of it takes the room that the disk may lack.
		_ = os.Remove(path + tempSuffix)
		return err
	}
	if err := os.Rename(path+tempSuffix, path); err != nil {
		return errors.Wrapf(err, "rename %s", name)
	}
	return syncDir(cfg.Dir, cfg.Sync)
}

// writeTempFile writes content to the file at path and makes the content durable.
func writeTempFile(cfg Config, path string, content []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o640)
	if err != nil {
		return errors.Wrap(err, "create file")
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

// LoadSnapshot returns the number and the content of the newest snapshot in a
// directory. The number is 0 if there is no snapshot. LoadSnapshot returns a
// CorruptError if the newest snapshot is corrupt.
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
	checksum := binary.LittleEndian.Uint32(content[end:])
	if crc32.Checksum(content[:end], castagnoliTable) != checksum {
		return 0, nil, &CorruptError{File: path}
	}
	return newest, content[:end], nil
}

func snapshotPath(dir string, number uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%s%020d%s", snapshotPrefix, number, snapshotSuffix))
}

// listSnapshots returns the numbers of the complete snapshots. It ignores temporary
// files, which are left over if a crash interrupts SaveSnapshot.
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
