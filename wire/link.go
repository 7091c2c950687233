package wire

import (
	"cmp"
	"context"
	"crypto/tls"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"github.com/ledgepin/ledgepin/compat"
	"github.com/ledgepin/ledgepin/fault"
	"github.com/ledgepin/ledgepin/internal/boundedhttp"
	"github.com/ledgepin/ledgepin/internal/sock"
)

// Path is the HTTP path of links.
const Path = "/ledgepin/link"

const (
	sendQueue    = 256
	helloTimeout = 5 * time.Second
	writeTimeout = 5 * time.Second
	// idleTimeout is the time without a frame after which a link is closed; peers send
	// several heartbeats within it.
	idleTimeout = 5 * time.Second
)

// Options configure one end of a link.
type Options struct {
	// Hello returns the first message.
	Hello func() Hello
	// Token is the bearer token that peers share; empty if there is none.
	Token string
	// TLS is the client's TLS configuration; nil for plain TCP.
	TLS *tls.Config
	// Idle is the time without a frame after which the link is closed; idleTimeout if zero.
	Idle time.Duration
	// Log receives the log lines of the link; nil discards them.
	Log *slog.Logger
	// Versions are those that this end supports; those of the build if zero.
	Versions compat.Range
}

// Link is one connection to a peer process.
type Link struct {
	// Peer is the Hello of the other side.
	Peer Hello

	version int
	reader  reader
	skipped skippedFrames
	log     *slog.Logger

	conn *websocket.Conn
	idle time.Duration
	out  chan []byte
	done chan struct{}
	once sync.Once
	// unsent is the number of queued frames that have not been written.
	unsent atomic.Int64
	// The counters measure the control traffic against its budget.
	sent, received, messages atomic.Int64
}

// Timeouts of opening a link, and of bytes that the peer does not acknowledge.
const (
	// dialInterval is the time between two attempts to open a connection, a few round
	// trips within a site; dialTimeout bounds all of them together.
	dialInterval = 60 * time.Millisecond
	dialTimeout  = 640 * time.Millisecond
	userTimeout  = 2 * time.Second
)

// dial opens the connection of a link. It repeats the attempt, since the VM may have been
// powered off when the first packet arrived.
var dial = sock.Redialer(userTimeout, dialInterval, dialTimeout)

// Dial opens a link to the process at addr, an IP address and port.
func Dial(ctx context.Context, addr string, o Options) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	scheme := "ws"
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: o.TLS, DialContext: dial, MaxResponseHeaderBytes: boundedhttp.MaxHeadBytes}}
	if o.TLS != nil {
		scheme = "wss"
	}
	head := http.Header{}
	if o.Token != "" {
		head.Set("Authorization", "Bearer "+o.Token)
	}
	conn, _, err := websocket.Dial(ctx, scheme+"://"+addr+Path, &websocket.DialOptions{HTTPClient: client, HTTPHeader: head})
	if err != nil {
		return nil, fault.Wrap(err, fault.LinkLost, fault.StepLink, addr)
	}
	return open(ctx, conn, addr, o)
}

// Accept upgrades an HTTP request to a link. The caller has checked the token.
func Accept(w http.ResponseWriter, r *http.Request, o Options) (*Link, error) {
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadPeer, fault.StepLink, r.RemoteAddr)
	}
	ctx, cancel := context.WithTimeout(r.Context(), helloTimeout)
	defer cancel()
	return open(ctx, conn, r.RemoteAddr, o)
}

// open exchanges the hellos.
func open(ctx context.Context, conn *websocket.Conn, addr string, o Options) (*Link, error) {
	conn.SetReadLimit(maxHelloBytes)
	l := &Link{conn: conn, log: o.Log, idle: cmp.Or(o.Idle, idleTimeout), out: make(chan []byte, sendQueue), done: make(chan struct{})}
	if err := l.handshake(ctx, addr, o); err != nil {
		_ = conn.Close(websocket.StatusPolicyViolation, "bad hello")
		_ = conn.CloseNow()
		return nil, err
	}
	conn.SetReadLimit(-1) // read skips frames that are too long; the limit would end the link
	return l, nil
}

func (l *Link) handshake(ctx context.Context, addr string, o Options) error {
	ours := cmp.Or(o.Versions, Versions)
	hello := o.Hello()
	hello.Version, hello.Least, hello.Most, hello.Build = BaseVersion, ours.Least, ours.Most, Build()
	frame, err := Marshal(&Message{Hello: &hello})
	if err != nil {
		return fault.Wrap(err, fault.Internal, fault.StepLink, addr)
	}
	if err := l.conn.Write(ctx, websocket.MessageBinary, frame); err != nil {
		return fault.Wrap(err, fault.LinkLost, fault.StepLink, addr)
	}
	m, err := l.readHello(ctx, addr)
	if err != nil {
		return err
	}
	if m.Hello == nil {
		return fault.New(fault.BadPeer, fault.StepLink, addr, "the first frame is not a Hello")
	}
	l.Peer = *m.Hello
	l.version, err = l.Peer.negotiate(ours, addr)
	return err
}

// Version returns the protocol version of the link: the highest that both ends support.
func (l *Link) Version() int { return l.version }

// Send queues m. It returns a LinkLost error if the link is closed, and a FrameTooLong error if the
// frame is longer than MaxFrameBytes. If the queue is full because the peer does not read, it
// closes the link.
func (l *Link) Send(m *Message) error {
	frame, err := Marshal(m)
	if err != nil {
		return fault.Wrap(err, fault.Internal, fault.StepLink, l.Peer.Name)
	}
	return l.SendFrame(frame)
}

// SendFrame queues a frame that Marshal returned, so that one frame can be sent to
// many peers.
func (l *Link) SendFrame(frame []byte) error {
	if len(frame) > MaxFrameBytes {
		return l.refuseOversized(frame)
	}
	select {
	case <-l.done:
		return fault.New(fault.LinkLost, fault.StepLink, l.Peer.Name, "the link is closed")
	default:
	}
	l.unsent.Add(1)
	select {
	case l.out <- frame:
		return nil
	default:
		l.unsent.Add(-1)
		l.Close()
		return fault.New(fault.LinkLost, fault.StepLink, l.Peer.Name, "the send queue is full: the peer does not read")
	}
}

// Run sends and receives messages until the link ends, and returns the reason. It calls
// handle for one message at a time.
func (l *Link) Run(ctx context.Context, handle func(*Message)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { l.writeLoop(ctx) })
	err := l.readLoop(ctx, handle)
	cancel()
	l.Close()
	wg.Wait()
	return err
}

func (l *Link) readLoop(ctx context.Context, handle func(*Message)) error {
	for {
		rctx, cancel := context.WithTimeout(ctx, l.idle)
		m, err := l.read(rctx)
		cancel()
		if err != nil {
			return err
		}
		if m != nil {
			handle(m)
		}
	}
}

func (l *Link) writeLoop(ctx context.Context) {
	defer l.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.done:
			return
		case frame := <-l.out:
			wctx, cancel := context.WithTimeout(ctx, writeTimeout)
			err := l.conn.Write(wctx, websocket.MessageBinary, frame)
			cancel()
			if err != nil {
				return
			}
			l.unsent.Add(-1)
			l.sent.Add(int64(len(frame)))
			l.messages.Add(1)
		}
	}
}

// flushPollInterval is the interval at which Flush checks for queued frames.
const flushPollInterval = 2 * time.Millisecond

// Flush waits until all queued frames have been written, the link has ended or ctx is done. Close
// drops frames that are still queued.
func (l *Link) Flush(ctx context.Context) {
	poll := time.NewTicker(flushPollInterval)
	defer poll.Stop()
	for l.unsent.Load() > 0 {
		select {
		case <-poll.C:
		case <-l.done:
			return
		case <-ctx.Done():
			return
		}
	}
}

// Close ends the link; it may be called more than once.
func (l *Link) Close() {
	l.once.Do(func() {
		close(l.done)
		_ = l.conn.CloseNow()
	})
}

// Traffic counts what was sent and received over one or several links.
type Traffic struct {
	// Sent and Received count payload bytes, Messages frames in both directions.
	Sent, Received, Messages int64
}

// Add adds the traffic of another link.
func (t *Traffic) Add(o Traffic) {
	t.Sent += o.Sent
	t.Received += o.Received
	t.Messages += o.Messages
}

// Traffic returns the link's traffic so far.
func (l *Link) Traffic() Traffic {
	return Traffic{Sent: l.sent.Load(), Received: l.received.Load(), Messages: l.messages.Load()}
}
