package link

import (
	"bytes"
	"encoding/binary"
	"io"

	"google.golang.org/protobuf/proto"
)

// MaxFrameBytes is the maximum length of a message on a link, without its length prefix.
const MaxFrameBytes = 4 << 20

const lengthBytes = 4

// FrameBytes returns the length of the frame of a message of messageBytes bytes.
func FrameBytes(messageBytes int) int {
	return lengthBytes + messageBytes
}

// WriteMessage writes one message, preceded by its length.
func WriteMessage(w io.Writer, message proto.Message) error {
	frame, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, lengthBytes), message)
	if err != nil {
		return Error.Wrap(err)
	}
	length := len(frame) - lengthBytes
	if length > MaxFrameBytes {
		return Error.New("message of %d bytes, at most %d are allowed", length, MaxFrameBytes)
	}
	binary.BigEndian.PutUint32(frame, uint32(length))
	_, err = w.Write(frame)
	return Error.Wrap(err)
}

// ReadMessage reads one message. It rejects a frame longer than MaxFrameBytes
// before it reads the message.
func ReadMessage(r io.Reader, message proto.Message) error {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Error.Wrap(err)
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > MaxFrameBytes {
		return Error.New("frame of %d bytes, at most %d are allowed", length, MaxFrameBytes)
	}
	// The buffer grows with the data received, so that a header with a large length
	// does not allocate memory by itself.
	var frame bytes.Buffer
	if n, err := io.CopyN(&frame, r, int64(length)); err != nil {
		return Error.New("frame of %d bytes ended after %d bytes: %w", length, n, err)
	}
	return Error.Wrap(proto.Unmarshal(frame.Bytes(), message))
}
