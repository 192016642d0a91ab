package coltsjournal

// A frame holds all records that one sync makes durable. A frame is written only
// after the previous one was synced, so only the last frame of the last segment
// can be torn (written in part). A torn frame can be dropped, because its records
// were never acknowledged; a corrupt frame must not be dropped, because that would
// lose acknowledged records. This file tells the two apart.

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"
)

const (
	// frameHeaderBytes is the size of a frame header: the length of the body, the
	// checksum of the body, and the checksum of these two fields. Without the header
	// checksum, a flipped bit in the length would look like a torn frame.
	frameHeaderBytes = 12
	// recordHeaderBytes is the size of a record header, which holds the length of
	// the record.
	recordHeaderBytes = 4
	// sectorBytes is the unit in which a disk writes. The missing parts of a torn
	// frame are whole sectors, which read as zeros.
	sectorBytes = 512
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends a frame that contains records to b.
func appendFrame(b []byte, records [][]byte) []byte {
	start := len(b)
	b = append(b, make([]byte, frameHeaderBytes)...)
	for _, r := range records {
		b = binary.LittleEndian.AppendUint32(b, uint32(len(r)))
		b = append(b, r...)
	}
	body := b[start+frameHeaderBytes:]
	binary.LittleEndian.PutUint32(b[start:], uint32(len(body)))
	binary.LittleEndian.PutUint32(b[start+4:], crc32.Checksum(body, castagnoliTable))
	binary.LittleEndian.PutUint32(b[start+8:], crc32.Checksum(b[start:start+8], castagnoliTable))
	return b
}

// frameState is the result of parsing a frame.
type frameState int

const (
	frameValid frameState = iota
	// frameTorn means that the frame was written only in part.
	frameTorn
	// frameCorrupt means that bytes changed after they were written.
	frameCorrupt
)

// parseFrame parses the frame at the start of b and returns its records and its
// size in bytes. Both are zero unless state is frameValid.
func parseFrame(b []byte) (records [][]byte, size int, state frameState) {
	if len(b) < frameHeaderBytes {
		return nil, 0, frameTorn
	}
	length := int(binary.LittleEndian.Uint32(b))
	checksum := binary.LittleEndian.Uint32(b[4:])
	if crc32.Checksum(b[:8], castagnoliTable) != binary.LittleEndian.Uint32(b[8:]) {
		return nil, 0, classifyInvalidFrame(b[:frameHeaderBytes])
	}
	if len(b) < frameHeaderBytes+length {
		return nil, 0, frameTorn
	}
	body := b[frameHeaderBytes : frameHeaderBytes+length]
	if crc32.Checksum(body, castagnoliTable) != checksum {
		return nil, 0, classifyInvalidFrame(b[:frameHeaderBytes+length])
	}
	records, err := splitRecords(body)
	if err != nil {
		return nil, 0, frameCorrupt
	}
	return records, frameHeaderBytes + length, frameValid
}

// classifyInvalidFrame reports whether an invalid frame is torn or corrupt. It is
// torn if one of its pieces of sector size (the last may be shorter) is all zeros,
// because such a piece was never written.
func classifyInvalidFrame(b []byte) frameState {
	for start := 0; start < len(b); start += sectorBytes {
		if allZero(b[start:min(start+sectorBytes, len(b))]) {
			return frameTorn
		}
	}
	return frameCorrupt
}

func allZero(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}
	return true
}

// splitRecords splits the body of a frame into its records.
func splitRecords(body []byte) ([][]byte, error) {
	var records [][]byte
	for len(body) > 0 {
		if len(body) < recordHeaderBytes {
			return nil, errors.New("record header is truncated")
		}
		length := int(binary.LittleEndian.Uint32(body))
		if len(body) < recordHeaderBytes+length {
			return nil, errors.New("record is truncated")
		}
		records = append(records, body[recordHeaderBytes:recordHeaderBytes+length])
		body = body[recordHeaderBytes+length:]
	}
	return records, nil
}
