package exchange

import (
	"context"
	"net"
	"time"

	"google.golang.org/protobuf/proto"
	"sassafrasturn.example/internal/link"
	"sassafrasturn.example/internal/pause"
	"sassafrasturn.example/internal/wire"
)

const (
	// flushDelay batches changes into one message. It also leaves time for the
	// peer's copy of a change to arrive, which is then not sent back to it.
	flushDelay = 20 * time.Millisecond
	// collectInterval bounds the delay of a heartbeat.
	collectInterval = HeartbeatInterval / 4
	writeTimeout    = 5 * time.Second
)

// Serve runs a session on the stream until the stream fails, the peer times out
// or ctx is done. Both ends of a link call Serve.
func Serve(ctx context.Context, session *Session, stream net.Conn) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { stream.Close() })
	defer stop()
	defer session.Close()
	go func() {
		defer cancel()
		sendLoop(ctx, session, stream)
	}()
	return receiveLoop(session, stream)
}

// sendLoop sends messages until a write fails, the peer times out or ctx is done.
func sendLoop(ctx context.Context, session *Session, stream net.Conn) {
	ticker := time.NewTicker(collectInterval)
	defer ticker.Stop()
	for {
		if !sendPending(session, stream) || session.isTimedOut(time.Now()) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-session.outbox.wake:
			if !pause.For(ctx, flushDelay) {
				return
			}
		}
	}
}

// sendPending sends all messages that are due. It reports false on a write error.
func sendPending(session *Session, stream net.Conn) bool {
	for _, message := range session.Collect(time.Now()) {
		if stream.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
			return false
		}
		if link.WriteMessage(stream, message) != nil {
			return false
		}
		session.store.traffic.sentMessages.Add(1)
		session.store.traffic.sentBytes.Add(uint64(link.FrameBytes(proto.Size(message))))
	}
	return true
}

func receiveLoop(session *Session, stream net.Conn) error {
	for {
		message := new(wire.Exchange)
		if err := link.ReadMessage(stream, message); err != nil {
			return err
		}
		session.store.traffic.receivedMessages.Add(1)
		session.store.traffic.receivedBytes.Add(uint64(link.FrameBytes(proto.Size(message))))
		if err := session.Receive(time.Now(), message); err != nil {
			return err
		}
	}
}
