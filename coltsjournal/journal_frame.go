package coltsjournal

// A frame is what one sync makes durable: all records that were waiting for it.
// A frame is written only after the one before it was synced, so at most the
// last frame of the last segment can be torn. The rules that tell a torn frame
// from a damaged one stand here, because cutting a damaged frame would lose
// records that were acknowledged.

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"
)

const (
	// frameHeaderBytes are the body's length, its checksum, and the checksum of
	// both: without the last, a flipped bit in the length would look like a frame
	// that was cut off.
	frameHeaderBytes = 12
	// recordHeaderBytes are a record's length inside a frame.
	recordHeaderBytes = 4
	// sectorBytes is the unit in which a disk writes: a torn frame lacks whole
	// sectors, which read as zeros.
	sectorBytes = 512
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendFrame appends a frame of records to b.
func appendFrame(b []byte, records [][]byte) []byte {
	start := len(b)
	b = append(b, make([]byte, frameHeaderBytes)...)
	for _, r := range records {
		b = binary.LittleEndian.AppendUint32(b, uint32(len(r)))
		b = append(b, r...)
	}
	body := b[start+frameHeaderBytes:]
	binary.LittleEndian.PutUint32(b[start:], uint32(len(body)))
	binary.LittleEndian.PutUint32(b[start+4:], crc32.Checksum(body, castagnoli))
	binary.LittleEndian.PutUint32(b[start+8:], crc32.Checksum(b[start:start+8], castagnoli))
	return b
}

// frameState says what was found where a frame should be.
type frameState int

const (
	frameWhole frameState = iota
	// frameTorn means that its write was cut off.
	frameTorn
	// frameDamaged means that bytes which were once written have changed.
	frameDamaged
)

// parseFrame reads the frame at the start of b and returns its records and size.
func parseFrame(b []byte) (records [][]byte, size int, state frameState) {
	if len(b) < frameHeaderBytes {
		return nil, 0, frameTorn
	}
	length := int(binary.LittleEndian.Uint32(b))
	sum := binary.LittleEndian.Uint32(b[4:])
	if crc32.Checksum(b[:8], castagnoli) != binary.LittleEndian.Uint32(b[8:]) {
		return nil, 0, stateOfBadFrame(b[:frameHeaderBytes])
	}
	if len(b) < frameHeaderBytes+length {
		return nil, 0, frameTorn
	}
	body := b[frameHeaderBytes : frameHeaderBytes+length]
	if crc32.Checksum(body, castagnoli) != sum {
		return nil, 0, stateOfBadFrame(b[:frameHeaderBytes+length])
	}
	records, err := splitRecords(body)
	if err != nil {
		return nil, 0, frameDamaged
	}
	return records, frameHeaderBytes + length, frameWhole
}

// stateOfBadFrame tells a torn frame from a damaged one: a piece as long as a
// sector, or all of a shorter one, that reads as zeros was never written.
func stateOfBadFrame(b []byte) frameState {
	for start := 0; start < len(b); start += sectorBytes {
		if allZero(b[start:min(start+sectorBytes, len(b))]) {
			return frameTorn
		}
	}
	return frameDamaged
}

func allZero(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}
	return true
}

func splitRecords(body []byte) ([][]byte, error) {
	var records [][]byte
	for len(body) > 0 {
		if len(body) < recordHeaderBytes {
			return nil, errors.New("record header is cut off")
		}
		length := int(binary.LittleEndian.Uint32(body))
		if len(body) < recordHeaderBytes+length {
			return nil, errors.New("record is cut off")
		}
		records = append(records, body[recordHeaderBytes:recordHeaderBytes+length])
		body = body[recordHeaderBytes+length:]
	}
	return records, nil
}
