// Package eventstream reads event streams (text/event-stream) and tells whether
// an event may be passed on to the caller that waits for it.
//
// Both parts are plain state, without clock, goroutine or socket. A Reader takes
// one engine's bytes as they come and gives whole blocks back, byte for byte. A
// Sequence takes the blocks of one caller's answer, whichever engines make them,
// and gives a Verdict on each: the caller gets no event twice and none too few.
//
//	for len(piece) > 0 {
//		block, rest, err := reader.Next(piece)
//		if err != nil {
//			return err
//		}
//		piece = rest
//		if block.Kind == eventstream.None {
//			break // no block is whole yet
//		}
//		switch verdict := sequence.Take(block); {
//		case verdict.Passes():
//			// write block.Raw
//		case verdict.Kind == eventstream.Missing:
//			// take the stream up again after sequence.Last(), or cut it
//		}
//	}
//
// Source: HTML's standard, "Server-sent events", sections "Parsing an event
// stream" and "Interpreting an event stream"
// (https://html.spec.whatwg.org/multipage/server-sent-events.html). Unlike a
// browser the Reader does not decode: text that is no UTF-8 passes as it is, and
// IDs are compared as bytes.
package eventstream
