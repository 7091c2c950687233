package wire

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/coder/websocket"

	"github.com/ledgepin/ledgepin/event"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/metric"
)

// A frame that can't be read is skipped and the link stays open. The peer would send the same
// state over the next link, so that closing it would stop all other traffic, such as votes, for
// as long as the peer keeps that state. To the receiver it is a message that was lost: packets of
// the group are sent again, and state that is sent only once is missing until the link opens anew.

// skippedFrames are the kinds of messages of which a link has logged a frame that it did not
// read or send.
type skippedFrames struct {
	mu               sync.Mutex
	received, unsent [maxKinds]bool
}

// first sets a flag and reports whether it was not set before.
func (s *skippedFrames) first(flags *[maxKinds]bool, kind int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := !flags[kind]
	flags[kind] = true
	return first
}

// readHello reads the first frame of the peer. A frame that can't be read is an error.
func (l *Link) readHello(ctx context.Context, peer string) (*Message, error) {
	kind, frame, err := l.conn.Read(ctx)
	if errors.Is(err, websocket.ErrMessageTooBig) {
		return nil, fault.Wrap(err, fault.BadPeer, fault.StepLink, peer)
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.LinkLost, fault.StepLink, peer)
	}
	l.countReceived(len(frame))
	if kind != websocket.MessageBinary {
		return nil, errTextFrame(peer)
	}
	return l.decode(frame, peer)
}

func errTextFrame(peer string) error {
	return fault.New(fault.BadPeer, fault.StepLink, peer, "received a text frame, want a binary one")
}

// read reads the next frame; it returns nil if the frame was skipped.
func (l *Link) read(ctx context.Context) (*Message, error) {
	peer := l.Peer.Name
	kind, r, err := l.conn.Reader(ctx)
	if err != nil {
		return nil, fault.Wrap(err, fault.LinkLost, fault.StepLink, peer)
	}
	frame, err := io.ReadAll(io.LimitReader(r, MaxFrameBytes))
	if err != nil {
		return nil, fault.Wrap(err, fault.LinkLost, fault.StepLink, peer)
	}
	rest, err := io.Copy(io.Discard, r)
	if err != nil {
		return nil, fault.Wrap(err, fault.LinkLost, fault.StepLink, peer)
	}
	l.countReceived(len(frame) + int(rest))
	var m *Message
	switch {
	case rest > 0:
		err = fault.New(fault.BadPeer, fault.StepLink, peer, fmt.Sprintf("the frame has %d bytes more than allowed", rest))
	case kind != websocket.MessageBinary:
		err = errTextFrame(peer)
	default:
		m, err = l.decode(frame, peer)
	}
	if err != nil {
		l.recordSkipped(kindOf(frame), err)
		return nil, nil
	}
	return m, nil
}

func (l *Link) countReceived(bytes int) {
	l.received.Add(int64(bytes))
	l.messages.Add(1)
}

func (l *Link) recordSkipped(kind int, err error) {
	metric.UnreadableFrames.WithLabelValues(kindName(kind)).Inc()
	if l.skipped.first(&l.skipped.received, kind) {
		event.UnreadableFrame.Log(l.log, "peer", l.Peer.Name, "build", l.Peer.Build, "kind", kindName(kind), "error", err)
	}
}

// refuseOversized counts and logs a frame that no peer would read, and returns the error.
func (l *Link) refuseOversized(frame []byte) error {
	kind := kindOf(frame)
	metric.OversizedFrames.WithLabelValues(kindName(kind)).Inc()
	if l.skipped.first(&l.skipped.unsent, kind) {
		event.OversizedFrame.Log(l.log, "peer", l.Peer.Name, "kind", kindName(kind), "bytes", len(frame))
	}
	return fault.New(fault.FrameTooLong, fault.StepLink, l.Peer.Name, fmt.Sprintf("a frame of %d bytes, at most %d are sent", len(frame), MaxFrameBytes))
}
