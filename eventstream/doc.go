// Package eventstream reads event streams (text/event-stream) and decides whether an
// event may be forwarded to the waiting caller.
//
// Both parts are plain state, without clock, goroutine or socket. A Reader reads the
// bytes of one engine as they arrive and returns complete blocks, byte for byte. A
// Sequencer checks the blocks of one caller's answer, whichever engines generate them, and
// returns a Verdict on each: the caller receives no event twice and misses none.
//
//	for len(piece) > 0 {
//		block, rest, err := reader.Next(piece)
//		if err != nil {
//			return err
//		}
//		piece = rest
//		if block.Kind == eventstream.None {
//			break // no block is complete yet
//		}
//		switch verdict := sequence.Check(block); {
//		case verdict.Passes():
//			// write block.Raw
//		case verdict.Decision == eventstream.Missing:
//			// resume the stream after sequence.Last(), or end it
//		}
//	}
//
// Source: the HTML standard, "Server-sent events", sections "Parsing an event stream" and
// "Interpreting an event stream"
// (https://html.spec.whatwg.org/multipage/server-sent-events.html). Unlike a browser, the
// Reader does not decode: text that is not valid UTF-8 is forwarded unchanged, and IDs
// are compared as bytes.
package eventstream
