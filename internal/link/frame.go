package link

import (
	"encoding/binary"
	"io"

	"google.golang.org/protobuf/proto"
)

// MaxFrameBytes bounds one message on a link.
const MaxFrameBytes = 4 << 20

const lengthBytes = 4

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
	frame := make([]byte, length)
	if _, err := io.ReadFull(r, frame); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(proto.Unmarshal(frame, message))
}
