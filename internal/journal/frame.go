package journal

import (
	"encoding/binary"
	"hash/crc32"

	"google.golang.org/protobuf/proto"
)

// A frame is a header of three numbers, big-endian, and the payload: the
// length of the payload, the checksum of the length, the checksum of the payload.
const (
	headerBytes = 12
	// MaxFrameBytes bounds one frame.
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
		return nil, Error.New("record of %d bytes, at most %d are allowed", len(payload), MaxFrameBytes)
	}
	binary.BigEndian.PutUint32(frame, uint32(len(payload)))
	binary.BigEndian.PutUint32(frame[4:], crc32.Checksum(frame[:4], castagnoli))
	binary.BigEndian.PutUint32(frame[8:], crc32.Checksum(payload, castagnoli))
	return frame, nil
}

// frameState says what stands at a place of a file.
type frameState uint8

const (
	frameComplete frameState = iota
	// frameTruncated runs over the end of the file.
	frameTruncated
	// frameDamaged is complete, but its payload is not what was written.
	frameDamaged
	// frameUnknown has no readable length.
	frameUnknown
)

// readFrame looks at the frame at the beginning of data. size is its length
// unless the state is frameUnknown.
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

// hasCompleteFrame reports whether any whole frame stands anywhere in data.
func hasCompleteFrame(data []byte) bool {
	for i := range data {
		if _, size, state := readFrame(data[i:]); state == frameComplete && size > headerBytes {
			return true
		}
	}
	return false
}

// scan calls take for each whole frame and returns the length of the part of
// data that is whole. What follows is a torn tail: at most one record is ever
// written without a sync, so it is the last of the file. Damage before other
// records is an error.
func scan(name string, data []byte, take func(payload []byte) error) (int, error) {
	offset := 0
	for offset < len(data) {
		payload, size, state := readFrame(data[offset:])
		if state != frameComplete {
			return offset, checkTail(name, data, offset, size, state)
		}
		if err := take(payload); err != nil {
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
	return ErrDamaged.New("%s is damaged at byte %d, before records that were stored later; replace this control instance: empty its data folder, give it a new id, and run sassafrasturnctl control add", name, offset)
}
