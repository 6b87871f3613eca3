package journal

import (
	"encoding/binary"
	"hash/crc32"

	"google.golang.org/protobuf/proto"
)

// A frame is a header followed by a payload. The header has three big-endian 32-bit
// numbers: the length of the payload, the checksum of the length and the checksum of
// the payload.
const (
	headerBytes = 12
	// MaxFrameBytes is the maximum size of the payload of a frame.
	MaxFrameBytes = 128 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func marshalFrame(message proto.Message) ([]byte, error) {
	frame, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, headerBytes), message)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	payload := frame[headerBytes:]
	if len(payload) > MaxFrameBytes {
		return nil, Error.New("record of %d bytes exceeds the limit of %d bytes", len(payload), MaxFrameBytes)
	}
	binary.BigEndian.PutUint32(frame, uint32(len(payload)))
	binary.BigEndian.PutUint32(frame[4:], crc32.Checksum(frame[:4], castagnoli))
	binary.BigEndian.PutUint32(frame[8:], crc32.Checksum(payload, castagnoli))
	return frame, nil
}

// frameState is the result of reading a frame at a position of a file.
type frameState uint8

const (
	frameComplete frameState = iota
	// frameTruncated extends past the end of the file.
	frameTruncated
	// frameDamaged is complete, but its payload does not match its checksum.
	frameDamaged
	// frameUnknown has no valid length.
	frameUnknown
)

// readFrame reads the frame at the beginning of data. size is its length including
// the header, 0 if the state is frameUnknown.
func readFrame(data []byte) (payload []byte, size int, state frameState) {
	if len(data) < headerBytes {
		return nil, 0, frameUnknown
	}
	length := binary.BigEndian.Uint32(data)
	if crc32.Checksum(data[:4], castagnoli) != binary.BigEndian.Uint32(data[4:]) || length > MaxFrameBytes {
		return nil, 0, frameUnknown
	}
	size = headerBytes + int(length)
	if size > len(data) {
		return nil, size, frameTruncated
	}
	payload = data[headerBytes:size]
	if crc32.Checksum(payload, castagnoli) != binary.BigEndian.Uint32(data[8:]) {
		return nil, size, frameDamaged
	}
	return payload, size, frameComplete
}

// hasCompleteFrame reports whether data contains a complete frame with a payload at any
// offset.
func hasCompleteFrame(data []byte) bool {
	for i := range data {
		if _, size, state := readFrame(data[i:]); state == frameComplete && size > headerBytes {
			return true
		}
	}
	return false
}

// scan calls handle for the payload of each complete frame and returns the length of
// the part of data that consists of complete frames. Anything after it is a torn
// write: at most one record is ever written without a sync, so it is the last of the
// file. Damage that other records follow is an error.
func scan(name string, data []byte, handle func(payload []byte) error) (int, error) {
	offset := 0
	for offset < len(data) {
		payload, size, state := readFrame(data[offset:])
		if state != frameComplete {
			return offset, checkTail(name, data, offset, size, state)
		}
		if err := handle(payload); err != nil {
			return offset, err
		}
		offset += size
	}
	return offset, nil
}

func checkTail(name string, data []byte, offset, size int, state frameState) error {
	isLast := true
	switch state {
	case frameDamaged:
		isLast = offset+size == len(data)
	case frameUnknown, frameTruncated:
		isLast = !hasCompleteFrame(data[offset+1:])
	}
	if isLast {
		return nil
	}
	return ErrDamaged.New("%s is damaged at byte %d, and later records follow; replace this control instance: empty its data folder, give it a new id, and run sassafrasturnctl control add", name, offset)
}
