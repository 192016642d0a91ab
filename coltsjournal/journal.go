// Package coltsjournal keeps records and snapshots in files under one folder.
//
// A record that Append has accepted survives any crash of the process and, as
// far as the disk keeps its word on sync, of the machine. After a failed write
// or sync the journal accepts nothing more: what the file holds from then on is
// not known, and only a restart reads it again. docs/JOURNAL.md is the page on
// the files.
package coltsjournal

// Many appends share one sync: the first caller to come writes for all that
// wait, while the next ones gather behind it.

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"github.com/pkg/errors"
)

// defaultSegmentBytes is the size at which a new segment is begun.
const defaultSegmentBytes = 64 << 20

// Config says where and how to keep the files.
type Config struct {
	// Dir is the folder; it is made if it is missing.
	Dir string
	// SegmentBytes is the size at which a new segment is begun; 0 for 64 MiB.
	SegmentBytes int64
	// Write writes to a segment; nil for (*os.File).Write.
	Write func(f *os.File, b []byte) (int, error)
	// Sync makes a file's content durable; nil for (*os.File).Sync.
	Sync func(f *os.File) error
}

// BrokenError reports that the journal has stopped writing after an error.
type BrokenError struct {
	Dir string
	// Cause is the first error.
	Cause error
}

// Error names the folder and the cause.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("journal %s has stopped writing: %v", e.Dir, e.Cause)
}

// CorruptError reports damage to records that were once durable.
type CorruptError struct {
	File   string
	Offset int64
}

// Error names the file and the offset.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d", e.File, e.Offset)
}

// LockedError reports that another process uses the folder.
type LockedError struct {
	Dir string
}

// Error names the folder.
func (e *LockedError) Error() string {
	return fmt.Sprintf("journal %s is in use by another process", e.Dir)
}

// Journal is an open folder. Its methods may be called concurrently.
type Journal struct {
	cfg  Config
	lock *os.File

	// queue gathers records while a frame is being written.
	queue appendQueue

	// files is locked while a frame is written or segments are removed. It is
	// never taken while the queue's lock is held.
	files segmentFiles
}

type appendQueue struct {
	mu      sync.Mutex
	records [][]byte
	// done is closed when the gathered records are durable or lost.
	done    *appendResult
	writing bool
}

type appendResult struct {
	finished chan struct{}
	err      error
}

// Stats counts what a journal has done since it was opened.
type Stats struct {
	Records uint64
	Syncs   uint64
	Bytes   uint64
}

// Open locks the folder, cuts a torn tail, and calls replay for each record from
// the oldest on. Number counts the records of the folder's whole life, from 1.
func Open(cfg Config, replay func(number uint64, record []byte) error) (*Journal, error) {
	cfg = cfg.withDefaults()
	if err := os.MkdirAll(cfg.Dir, 0o750); err != nil {
		return nil, errors.Wrap(err, "make journal folder")
	}
	lock, err := lockDir(cfg.Dir)
	if err != nil {
		return nil, err
	}
	j := &Journal{cfg: cfg, lock: lock}
	j.files.cfg = cfg
	j.queue.done = newAppendResult()
	if err := j.files.open(replay); err != nil {
		// The error of opening says more than one of closing would.
		_ = lock.Close()
		return nil, errors.WithMessage(err, "open journal")
	}
	return j, nil
}

// withDefaults gives the zero fields their defaults.
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
	return &appendResult{finished: make(chan struct{})}
}

// Append makes records durable, in order, and returns when they are. It returns
// a BrokenError if they may not be.
func (j *Journal) Append(records ...[]byte) error {
	if len(records) == 0 {
		return nil
	}
	result, isWriter := j.queue.add(records)
	if isWriter {
		j.writeQueued()
	}
	<-result.finished
	return result.err
}

// add gathers records and says whether the caller must write.
func (q *appendQueue) add(records [][]byte) (*appendResult, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.records = append(q.records, records...)
	isWriter := !q.writing
	q.writing = true
	return q.done, isWriter
}

// take returns what was gathered, or false if there is nothing left to write.
func (q *appendQueue) take() ([][]byte, *appendResult, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.records) == 0 {
		q.writing = false
		return nil, nil, false
	}
	records, result := q.records, q.done
	q.records = nil
	q.done = newAppendResult()
	return records, result, true
}

// writeQueued writes frames until nothing is left.
func (j *Journal) writeQueued() {
	for {
		records, result, more := j.queue.take()
		if !more {
			return
		}
		result.err = j.files.write(records)
		close(result.finished)
	}
}

// RemoveBefore removes the segments that hold only records before number.
func (j *Journal) RemoveBefore(number uint64) error {
	return j.files.removeBefore(number)
}

// NextNumber returns the number that the next record will get.
func (j *Journal) NextNumber() uint64 {
	return j.files.nextNumber()
}

// Stats returns what the journal has done since it was opened.
func (j *Journal) Stats() Stats {
	return j.files.getStats()
}

// Close closes the files and unlocks the folder. Appends under way fail or are
// durable; none may be begun after it.
func (j *Journal) Close() error {
	err := j.files.close()
	if closeErr := j.lock.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "close journal")
}

// syncDir makes the names in a folder durable.
func syncDir(dir string, makeDurable func(*os.File) error) error {
	f, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return errors.Wrap(err, "open folder")
	}
	err = makeDurable(f)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "sync folder")
}
