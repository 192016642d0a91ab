package coltsjournal

// The journal is split into segments so that the disk space of old records can be
// freed by removing whole files. The name of a segment contains the number of its
// first record, so a directory listing shows the order and any gap.

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

const (
	segmentPrefix = "journal-"
	segmentSuffix = ".segment"
	// segmentMagic is the header of every segment; it identifies the file format and
	// its version.
	segmentMagic = "COLTSJ1\n"
)

// segment is one segment file.
type segment struct {
	path string
	// first is the number of its first record.
	first uint64
}

// segmentFiles holds the segments of a directory. The last one is open for writing.
type segmentFiles struct {
	cfg Config

	mu sync.Mutex
	// segments is ordered by record number.
	segments []segment
	// active is the last segment.
	active *os.File
	// size is the size of active in bytes.
	size int64
	// next is the number of the next record.
	next uint64
	// writeErr is the error after which all writes fail; nil if there was none.
	writeErr error
	stats    Stats
	// buffer is reused to encode frames.
	buffer []byte
}

// open replays all segments and opens the last one for writing.
func (s *segmentFiles) open(replay func(uint64, []byte) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	segments, err := listSegments(s.cfg.Dir)
	if err != nil {
		return err
	}
	s.segments = segments
	s.next = 1
	if len(segments) > 0 {
		s.next = segments[0].first
	}
	for i, seg := range segments {
		if seg.first != s.next {
			return &CorruptError{File: seg.path}
		}
		last := i == len(segments)-1
		if err := s.replaySegment(seg, last, replay); err != nil {
			return err
		}
	}
	return s.openActiveSegment()
}

// listSegments returns the segments in a directory, ordered by record number.
func listSegments(dir string) ([]segment, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.Wrap(err, "list segments")
	}
	var segments []segment
	for _, entry := range entries {
		name := entry.Name()
		if !strings.HasPrefix(name, segmentPrefix) || !strings.HasSuffix(name, segmentSuffix) {
			continue
		}
		var first uint64
		_, err := fmt.Sscanf(name, segmentPrefix+"%d"+segmentSuffix, &first)
		if err != nil {
			return nil, errors.Errorf("segment file name %s does not contain a record number", name)
		}
		segments = append(segments, segment{path: filepath.Join(dir, name), first: first})
	}
	slices.SortFunc(segments, func(a, b segment) int { return cmp.Compare(a.first, b.first) })
	return segments, nil
}

// replaySegment calls replay for each record of a segment. In the last segment, a torn
// frame or segment header is removed; in any other segment it is an error.
func (s *segmentFiles) replaySegment(seg segment, last bool, replay func(uint64, []byte) error) error {
	content, err := os.ReadFile(seg.path)
	if err != nil {
		return errors.Wrap(err, "read segment")
	}
	if len(content) < len(segmentMagic) && last {
		return s.truncate(seg, 0)
	}
	if !strings.HasPrefix(string(content[:min(len(content), len(segmentMagic))]), segmentMagic) {
		return &CorruptError{File: seg.path}
	}
	offset := len(segmentMagic)
	for offset < len(content) {
		records, size, state := parseFrame(content[offset:])
		if state == frameTorn && last {
			return s.truncate(seg, int64(offset))
		}
		if state != frameValid {
			return &CorruptError{File: seg.path, Offset: int64(offset)}
		}
		for _, r := range records {
			if err := replay(s.next, r); err != nil {
				return errors.Wrapf(err, "replay record %d", s.next)
			}
			s.next++
		}
		offset += size
	}
	return nil
}

// truncate removes a torn frame or segment header from the end of a segment by
// shortening the file to size bytes. If size is 0, it writes a new segment header.
func (s *segmentFiles) truncate(seg segment, size int64) error {
	f, err := os.OpenFile(seg.path, os.O_RDWR, 0)
	if err != nil {
		return errors.Wrap(err, "open torn segment")
	}
	err = f.Truncate(size)
	if err == nil && size == 0 {
		_, err = f.Write([]byte(segmentMagic))
	}
	if err == nil {
		err = s.cfg.Sync(f)
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "truncate torn segment")
}

// openActiveSegment opens the last segment for writing, or creates the first one.
func (s *segmentFiles) openActiveSegment() error {
	if len(s.segments) == 0 {
		return s.createSegmentLocked()
	}
	last := s.segments[len(s.segments)-1]
	f, err := os.OpenFile(last.path, os.O_RDWR|os.O_APPEND, 0)
	if err != nil {
		return errors.Wrap(err, "open segment")
	}
	info, err := f.Stat()
	if err != nil {
		return errors.Wrap(err, "get size of segment")
	}
	s.active = f
	s.size = info.Size()
	return nil
}

// createSegmentLocked creates a segment that starts with the next record and makes
// it the active one.
func (s *segmentFiles) createSegmentLocked() error {
	name := fmt.Sprintf("%s%020d%s", segmentPrefix, s.next, segmentSuffix)
	path := filepath.Join(s.cfg.Dir, name)
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_RDWR|os.O_APPEND, 0o640)
	if err != nil {
		return errors.Wrap(err, "create segment")
	}
	if _, err := s.cfg.Write(f, []byte(segmentMagic)); err != nil {
		return errors.Wrap(err, "write segment header")
	}
	if err := s.cfg.Sync(f); err != nil {
		return errors.Wrap(err, "sync segment")
	}
	if err := syncDir(s.cfg.Dir, s.cfg.Sync); err != nil {
		return err
	}
	s.segments = append(s.segments, segment{path: path, first: s.next})
	s.active = f
	s.size = int64(len(segmentMagic))
	return nil
}

// write writes records as one frame and makes it durable. After the first error,
// it always fails with a BrokenError.
func (s *segmentFiles) write(records [][]byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writeErr != nil {
		return &BrokenError{Dir: s.cfg.Dir, Cause: s.writeErr}
	}
	err := s.writeLocked(records)
	if err != nil {
		s.writeErr = err
		return &BrokenError{Dir: s.cfg.Dir, Cause: err}
	}
	return nil
}

func (s *segmentFiles) writeLocked(records [][]byte) error {
	if s.size >= s.cfg.SegmentBytes {
		if err := s.active.Close(); err != nil {
			return errors.Wrap(err, "close full segment")
		}
		if err := s.createSegmentLocked(); err != nil {
			return err
		}
	}
	s.buffer = appendFrame(s.buffer[:0], records)
	if _, err := s.cfg.Write(s.active, s.buffer); err != nil {
		return errors.Wrap(err, "write frame")
	}
	if err := s.cfg.Sync(s.active); err != nil {
		return errors.Wrap(err, "sync frame")
	}
	s.size += int64(len(s.buffer))
	s.next += uint64(len(records))
	s.stats.Records += uint64(len(records))
	s.stats.Syncs++
	s.stats.Bytes += uint64(len(s.buffer))
	return nil
}

func (s *segmentFiles) removeBefore(number uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	removed := false
	for len(s.segments) > 1 && s.segments[1].first <= number {
		if err := os.Remove(s.segments[0].path); err != nil {
			return errors.Wrap(err, "remove segment")
		}
		s.segments = s.segments[1:]
		removed = true
	}
	if !removed {
		return nil
	}
	return syncDir(s.cfg.Dir, s.cfg.Sync)
}

func (s *segmentFiles) nextNumber() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

func (s *segmentFiles) getStats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *segmentFiles) close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writeErr == nil {
		s.writeErr = errors.New("journal is closed")
	}
	return s.active.Close()
}
