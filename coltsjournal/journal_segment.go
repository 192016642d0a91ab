package coltsjournal

// Segments exist so that old records can be given back to the disk by removing
// whole files. A segment's name is the number of its first record, which makes
// the order and any gap visible in a listing.

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
	// segmentMagic starts every segment and names its form.
	segmentMagic = "COLTSJ1\n"
)

// segment is one file.
type segment struct {
	path string
	// first is the number of its first record.
	first uint64
}

// segmentFiles are the folder's segments; the last one is open for writing.
type segmentFiles struct {
	cfg Config

	mu       sync.Mutex
	segments []segment
	active   *os.File
	size     int64
	next     uint64
	broken   error
	stats    Stats
	buffer   []byte
}

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
	return s.openLast()
}

func listSegments(dir string) ([]segment, error) {
	names, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.Wrap(err, "list segments")
	}
	var segments []segment
	for _, entry := range names {
		name := entry.Name()
		if !strings.HasPrefix(name, segmentPrefix) || !strings.HasSuffix(name, segmentSuffix) {
			continue
		}
		var first uint64
		_, err := fmt.Sscanf(name, segmentPrefix+"%d"+segmentSuffix, &first)
		if err != nil {
			return nil, errors.Errorf("segment %s has a name that is no number", name)
		}
		segments = append(segments, segment{path: filepath.Join(dir, name), first: first})
	}
	slices.SortFunc(segments, func(a, b segment) int { return cmp.Compare(a.first, b.first) })
	return segments, nil
}

// replaySegment hands out the records of a segment. Only the last one may end
// in a torn frame, which is cut.
func (s *segmentFiles) replaySegment(seg segment, last bool, replay func(uint64, []byte) error) error {
	content, err := os.ReadFile(seg.path)
	if err != nil {
		return errors.Wrap(err, "read segment")
	}
	if len(content) < len(segmentMagic) && last {
		return s.cut(seg, 0)
	}
	if !strings.HasPrefix(string(content[:min(len(content), len(segmentMagic))]), segmentMagic) {
		return &CorruptError{File: seg.path}
	}
	offset := len(segmentMagic)
	for offset < len(content) {
		records, size, state := parseFrame(content[offset:])
		if state == frameTorn && last {
			return s.cut(seg, int64(offset))
		}
		if state != frameWhole {
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

// cut removes the torn end of the last segment.
func (s *segmentFiles) cut(seg segment, size int64) error {
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
	return errors.Wrap(err, "cut torn segment")
}

// openLast opens the last segment for writing, or begins the first.
func (s *segmentFiles) openLast() error {
	if len(s.segments) == 0 {
		return s.beginLocked()
	}
	last := s.segments[len(s.segments)-1]
	f, err := os.OpenFile(last.path, os.O_RDWR|os.O_APPEND, 0)
	if err != nil {
		return errors.Wrap(err, "open segment")
	}
	info, err := f.Stat()
	if err != nil {
		return errors.Wrap(err, "size of segment")
	}
	s.active = f
	s.size = info.Size()
	return nil
}

// beginLocked begins a segment for the next record.
func (s *segmentFiles) beginLocked() error {
	name := fmt.Sprintf("%s%020d%s", segmentPrefix, s.next, segmentSuffix)
	path := filepath.Join(s.cfg.Dir, name)
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_RDWR|os.O_APPEND, 0o640)
	if err != nil {
		return errors.Wrap(err, "make segment")
	}
	if _, err := s.cfg.Write(f, []byte(segmentMagic)); err != nil {
		return errors.Wrap(err, "write segment's head")
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

// write makes one frame durable.
func (s *segmentFiles) write(records [][]byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken != nil {
		return &BrokenError{Dir: s.cfg.Dir, Cause: s.broken}
	}
	err := s.writeLocked(records)
	if err != nil {
		s.broken = err
		return &BrokenError{Dir: s.cfg.Dir, Cause: err}
	}
	return nil
}

func (s *segmentFiles) writeLocked(records [][]byte) error {
	if s.size >= s.cfg.SegmentBytes {
		if err := s.active.Close(); err != nil {
			return errors.Wrap(err, "close full segment")
		}
		if err := s.beginLocked(); err != nil {
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
	if s.broken == nil {
		s.broken = errors.New("it was closed")
	}
	return s.active.Close()
}
