package control

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"sassafrasturn.example/internal/link"
	"sassafrasturn.example/internal/wire"
)

// pipe returns a connection whose other end sends what write writes.
func pipe(write func(net.Conn)) net.Conn {
	reader, writer := net.Pipe()
	go func() {
		defer writer.Close()
		write(writer)
	}()
	return reader
}

func TestMessagesOfManyFrames(t *testing.T) {
	for _, size := range []int{0, 1, frameBytes, 3*frameBytes + 1} {
		g := NewWithT(t)
		sent := &wire.ConsensusMessage{Term: 7, Snapshot: &wire.LogSnapshot{Index: 3, State: make([]byte, size)}}
		got, err := readMessage(pipe(func(conn net.Conn) { _ = writeMessage(conn, sent) }))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got.Term).To(BeEquivalentTo(7))
		g.Expect(got.Snapshot.State).To(HaveLen(size))
	}
}

// TestFramesWithoutEnd must not grow the memory without bound.
func TestFramesWithoutEnd(t *testing.T) {
	g := NewWithT(t)
	frame := &wire.ConsensusFrame{Part: make([]byte, 3<<20)}
	conn := pipe(func(conn net.Conn) {
		for link.WriteMessage(conn, frame) == nil {
		}
	})
	defer conn.Close()
	_, err := readMessage(conn)
	g.Expect(err).To(MatchError(ContainSubstring("message over")))
}

func TestMessageOfRandomBytes(t *testing.T) {
	g := NewWithT(t)
	_, err := readMessage(pipe(func(conn net.Conn) {
		_ = link.WriteMessage(conn, &wire.ConsensusFrame{Part: []byte("\xff\xff\xff"), Final: true})
	}))
	g.Expect(err).To(HaveOccurred())
}
