// Package coltsjournal is a write-ahead log: it stores records and snapshots in
// files under one directory.
//
// A record survives a crash of the process, and of the machine if the disk
// honours sync, once Append has returned nil for it. After a failed write or sync
// the content of the file after the last durable frame is unknown. The journal then
// rejects appends until that content has been removed durably, which every append
// tries first. docs/JOURNAL.md describes the file formats.
package coltsjournal

// Concurrent appends share one sync (group commit): the first caller writes the
// records of all waiting callers, while later callers queue for the next write.

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// defaultSegmentBytes is the default of Config.SegmentBytes.
const defaultSegmentBytes = 64 << 20

// Config holds the settings of a journal.
type Config struct {
	// Dir is the directory of the files. It is created if it does not exist.
	Dir string
	// SegmentBytes is the size in bytes at which a new segment is started; zero
	// means 64 MiB.
	SegmentBytes int64
	// Write writes to a file of the journal; nil means (*os.File).Write.
	Write func(f *os.File, b []byte) (int, error)
	// Sync makes the content of a file or directory durable; nil means
	// (*os.File).Sync.
	Sync func(f *os.File) error
}

// BrokenError reports that the journal has not stored records: a write or sync failed,
// what an earlier failure left behind can't be removed yet, or the journal is closed.
type BrokenError struct {
	Dir   string
	Cause error
}

// Error names the directory and the cause.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("journal %s can't be written: %v", e.Dir, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// CorruptError reports that data which was once durable is corrupt or missing.
type CorruptError struct {
	File string
	// Offset is the position in bytes of the corrupt frame; zero if the whole file
	// is affected.
	Offset int64
}

// Error names the file and the offset.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is corrupt at offset %d", e.File, e.Offset)
}

// LockedError reports that the directory is locked by another process.
type LockedError struct {
	Dir string
}

// Error names the directory.
func (e *LockedError) Error() string {
	return fmt.Sprintf("journal %s is in use by another process", e.Dir)
}

// Journal is an open journal. Its methods may be called concurrently.
type Journal struct {
	cfg Config
	// lock is the open lock file; closing it releases the lock.
	lock *os.File

	// queue collects records while a frame is being written.
	queue appendQueue

	// files has a lock of its own, which is held while a frame is written or
	// segments are removed. It is never acquired while the lock of queue is held.
	files segmentFiles
}

// appendQueue holds the records to be written as the next frame.
type appendQueue struct {
	mu      sync.Mutex
	records [][]byte
	// result is the result of the append of records.
	result *appendResult
	// writing is true while a caller of Append is writing frames.
	writing bool
}

// appendResult is the result that all appends in one frame share.
type appendResult struct {
	// done is closed when the frame is durable or has failed, after err is set.
	done chan struct{}
	err  error
}

// Stats holds counters of the records, syncs and bytes that a journal has written
// since it was opened.
type Stats struct {
	Records uint64
	Syncs   uint64
	Bytes   uint64
}

// Open locks the directory and calls replay for each record before a torn last frame,
// oldest first. The records are numbered in the order in which they were appended,
// starting at 1; removing segments does not change the numbers. If the disk refuses
// writes, what was replayed may not be durable: Recover returns an error until it is.
func Open(cfg Config, replay func(number uint64, record []byte) error) (*Journal, error) {
	cfg = cfg.withDefaults()
	if err := os.MkdirAll(cfg.Dir, 0o750); err != nil {
		return nil, errors.Wrap(err, "create journal directory")
	}
	lock, err := lockDir(cfg.Dir)
	if err != nil {
		return nil, err
	}
	j := &Journal{cfg: cfg, lock: lock}
	j.files.cfg = cfg
	j.queue.result = newAppendResult()
	if err := j.files.open(replay); err != nil {
		// The error from opening is more useful than one from closing the lock file.
		_ = lock.Close()
		return nil, errors.WithMessage(err, "open journal")
	}
	return j, nil
}

// withDefaults returns cfg with the zero fields set to their defaults.
func (cfg Config) withDefaults() Config {
	if cfg.SegmentBytes == 0 {
		cfg.SegmentBytes = defaultSegmentBytes
	}
	if cfg.Write == nil {
		cfg.Write = func(f *os.File, b []byte) (int, error) { return f.Write(b) }
	}
	if cfg.Sync == nil {
		cfg.Sync = func(f *os.File) error { return f.Sync() }
	}
	return cfg
}

func newAppendResult() *appendResult {
	return &appendResult{done: make(chan struct{})}
}

// Append writes records in order and returns once they are durable. It returns a
// BrokenError if they are not stored; until a later call of Append or Recover succeeds,
// a restart may find them nevertheless.
func (j *Journal) Append(records ...[]byte) error {
	if len(records) == 0 {
		return nil
	}
	result, isWriter := j.queue.add(records)
	if isWriter {
		j.writeQueued()
	}
	<-result.done
	return result.err
}

// add adds records to the queue and reports whether the caller has to write the
// queue, because no other caller is writing.
func (q *appendQueue) add(records [][]byte) (*appendResult, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.records = append(q.records, records...)
	isWriter := !q.writing
	q.writing = true
	return q.result, isWriter
}

// take empties the queue and returns its records and their result, or false if
// the queue is empty.
func (q *appendQueue) take() ([][]byte, *appendResult, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.records) == 0 {
		q.writing = false
		return nil, nil, false
	}
	records, result := q.records, q.result
	q.records = nil
	q.result = newAppendResult()
	return records, result, true
}

// writeQueued writes frames until the queue is empty.
func (j *Journal) writeQueued() {
	for {
		records, result, more := j.queue.take()
		if !more {
			return
		}
		result.err = j.files.write(records)
		close(result.done)
	}
}

// Recover makes the journal accept appends after a failure, or after Open, if it does
// not yet: it removes what may have been written after the last durable frame. It
// returns a BrokenError if the disk still refuses that.
func (j *Journal) Recover() error {
	return j.files.recover()
}

// RemoveSegmentsBefore removes the segments in which every record has a lower number
// than the given one. The last segment is never removed.
func (j *Journal) RemoveSegmentsBefore(number uint64) error {
	return j.files.removeBefore(number)
}

// NextNumber returns the number of the next record to be appended.
func (j *Journal) NextNumber() uint64 {
	return j.files.nextNumber()
}

// Stats returns the counters of the journal.
func (j *Journal) Stats() Stats {
	return j.files.getStats()
}

// Close closes the files and unlocks the directory. An append in progress either
// fails or is durable. Append must not be called after Close.
func (j *Journal) Close() error {
	err := j.files.close()
	if closeErr := j.lock.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "close journal")
}

// IsRefused reports whether err is due to a disk that refuses writes, which it may accept later.
func IsRefused(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	return errno == syscall.ENOSPC || errno == syscall.EDQUOT || errno == syscall.EROFS || errno == syscall.EIO
}

// syncDir makes the entries of a directory durable.
func syncDir(dir string, syncFile func(*os.File) error) error {
	f, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return errors.Wrap(err, "open directory")
	}
	err = syncFile(f)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "sync directory")
}
