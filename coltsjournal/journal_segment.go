package coltsjournal

// The journal is split into segments so that the disk space of old records can be
// freed by removing whole files. The name of a segment contains the number of its
// first record, so a directory listing shows the order and any gap.

import (
	"cmp"
	"fmt"
	"io"
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
	// active is the last segment; nil if the next one has not been created yet.
	active *os.File
	// size is the size in bytes of what is durable in active.
	size int64
	// next is the number of the next record.
	next uint64
	// unrecovered is set while active may hold more than what is durable. lastFrame is the last frame
	// of active if it was read and not written by this process, so that it may not be durable itself.
	unrecovered bool
	lastFrame   []byte
	closed      bool
	stats       Stats
	// buffer is reused to encode frames.
	buffer []byte
}

// open replays all segments and opens the last one for writing. It changes no file except by recovering,
// which may fail and is tried again by the next append.
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
	if err := s.openActiveSegment(); err != nil {
		return err
	}
	s.unrecovered = true
	_ = s.recoverLocked()
	return nil
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

// replaySegment calls replay for each record of a segment. In the last segment a torn frame or segment
// header ends the durable content; in any other segment it is an error.
func (s *segmentFiles) replaySegment(seg segment, last bool, replay func(uint64, []byte) error) error {
	content, err := os.ReadFile(seg.path)
	if err != nil {
		return errors.Wrap(err, "read segment")
	}
	s.size, s.lastFrame = 0, nil
	if len(content) < len(segmentMagic) && last {
		return nil
	}
	if !strings.HasPrefix(string(content[:min(len(content), len(segmentMagic))]), segmentMagic) {
		return &CorruptError{File: seg.path}
	}
	offset := len(segmentMagic)
	for offset < len(content) {
		records, size, state := parseFrame(content[offset:])
		if state == frameTorn && last {
			break
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
		s.lastFrame = content[offset : offset+size]
		offset += size
	}
	s.size = int64(offset)
	return nil
}

// openActiveSegment opens the last segment for writing, if there is one.
func (s *segmentFiles) openActiveSegment() error {
	if len(s.segments) == 0 {
		return nil
	}
	f, err := os.OpenFile(s.segments[len(s.segments)-1].path, os.O_RDWR, 0)
	if err != nil {
		return errors.Wrap(err, "open segment")
	}
	s.active, s.lastFrame = f, slices.Clone(s.lastFrame)
	return nil
}

func (s *segmentFiles) recover() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.recoverLocked(); err != nil {
		return &BrokenError{Dir: s.cfg.Dir, Cause: err}
	}
	return nil
}

// recoverLocked makes the active segment end with the last durable frame. It also writes a last frame
// that was read: after a failed sync of an earlier process it may be in the page cache and not on disk,
// and a further sync would not write it.
func (s *segmentFiles) recoverLocked() error {
	switch {
	case s.closed:
		return errors.New("journal is closed")
	case s.active == nil:
		return s.createSegmentLocked()
	case !s.unrecovered:
		return nil
	}
	if err := s.active.Truncate(s.size); err != nil {
		return errors.Wrap(err, "truncate segment")
	}
	rewritten := s.lastFrame
	if s.size == 0 {
		rewritten = []byte(segmentMagic)
	}
	if _, err := s.active.Seek(max(0, s.size-int64(len(rewritten))), io.SeekStart); err != nil {
		return errors.Wrap(err, "seek in segment")
	}
	if len(rewritten) > 0 {
		if _, err := s.cfg.Write(s.active, rewritten); err != nil {
			return errors.Wrap(err, "rewrite segment")
		}
	}
	if err := s.cfg.Sync(s.active); err != nil {
		return errors.Wrap(err, "sync segment")
	}
	if err := syncDir(s.cfg.Dir, s.cfg.Sync); err != nil {
		return err
	}
	s.size = max(s.size, int64(len(segmentMagic)))
	s.unrecovered, s.lastFrame = false, nil
	return nil
}

// createSegmentLocked creates a segment that starts with the next record and makes it the active one. A
// file with its name has no durable records: its creation has failed.
func (s *segmentFiles) createSegmentLocked() error {
	name := fmt.Sprintf("%s%020d%s", segmentPrefix, s.next, segmentSuffix)
	path := filepath.Join(s.cfg.Dir, name)
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o640)
	if err != nil {
		return errors.Wrap(err, "create segment")
	}
	if err := s.initSegment(f); err != nil {
		// The error from writing is more useful than one from closing the file.
		_ = f.Close()
		return err
	}
	s.segments = append(s.segments, segment{path: path, first: s.next})
	s.active, s.size = f, int64(len(segmentMagic))
	s.unrecovered, s.lastFrame = false, nil
	return nil
}

// initSegment writes a segment's header and makes the file durable.
func (s *segmentFiles) initSegment(f *os.File) error {
	if _, err := s.cfg.Write(f, []byte(segmentMagic)); err != nil {
		return errors.Wrap(err, "write segment header")
	}
	if err := s.cfg.Sync(f); err != nil {
		return errors.Wrap(err, "sync segment")
	}
	return syncDir(s.cfg.Dir, s.cfg.Sync)
}

// write writes records as one frame and makes it durable. It fails with a BrokenError.
func (s *segmentFiles) write(records [][]byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.recoverLocked()
	if err == nil {
		err = s.writeLocked(records)
	}
	if err != nil {
		return &BrokenError{Dir: s.cfg.Dir, Cause: err}
	}
	return nil
}

func (s *segmentFiles) writeLocked(records [][]byte) error {
	if s.size >= s.cfg.SegmentBytes {
		full := s.active
		s.active = nil
		if err := full.Close(); err != nil {
			return errors.Wrap(err, "close full segment")
		}
		if err := s.createSegmentLocked(); err != nil {
			return err
		}
	}
	s.buffer = appendFrame(s.buffer[:0], records)
	s.unrecovered = true
	if _, err := s.cfg.Write(s.active, s.buffer); err != nil {
		return errors.Wrap(err, "write frame")
	}
	if err := s.cfg.Sync(s.active); err != nil {
		return errors.Wrap(err, "sync frame")
	}
	s.unrecovered = false
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
	s.closed = true
	if s.active == nil {
		return nil
	}
	return s.active.Close()
}
