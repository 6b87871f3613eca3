package link

import (
	"bytes"
	"encoding/binary"
	"io"

	"google.golang.org/protobuf/proto"
)

// MaxFrameBytes bounds one message on a link.
const MaxFrameBytes = 4 << 20

const lengthBytes = 4

// FrameBytes returns the length on the link of a message of so many bytes.
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

// ReadMessage reads one message. A frame over MaxFrameBytes is an error before
// anything of it is read.
func ReadMessage(r io.Reader, message proto.Message) error {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Error.Wrap(err)
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > MaxFrameBytes {
		return Error.New("frame of %d bytes, at most %d are allowed", length, MaxFrameBytes)
	}
	// The buffer grows with what arrives, not with what the header announces.
	var frame bytes.Buffer
	if n, err := io.CopyN(&frame, r, int64(length)); err != nil {
		return Error.New("frame of %d bytes ended after %d: %w", length, n, err)
	}
	return Error.Wrap(proto.Unmarshal(frame.Bytes(), message))
}
