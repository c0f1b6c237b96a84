// Package exchange replays recorded byte exchanges from text files over real sockets against the code under test. Only
// tests import it, and it imports no other package of this project. A Player owns the listeners and connections of one
// test, and closes them when that test ends.
//
// Each line of a script is a step. Empty lines and lines that begin with # are ignored.
//
//	let KEY TEXT   replaces {KEY} by TEXT in the following steps
//	NAME > TEXT    writes TEXT and a line end; NAME >> TEXT writes no line end
//	NAME < TEXT    reads as many lines as TEXT has, which must be equal; a * at the end of a line matches any rest
//	NAME << TEXT   reads as many bytes as TEXT has, which must be equal
//	NAME takes T   reads a request with its body of Content-Length bytes; the request line must begin with T
//	NAME takes head T  reads a request without its body
//	NAME chunk T   writes T and a newline as one chunk of a chunked body
//	NAME sends N K writes the bytes from offset K to before offset N of the body that Body generates
//	NAME gets N K  reads these bytes, which must be equal
//	NAME whole N   reads a chunked body, which must be the first N bytes of Body, and the empty line that ends it
//	NAME chunks N  reads a chunked body like whole, but leaves the trailer section unread
//	NAME accept    accepts the next connection to a listener; the first one needs no accept step
//	NAME eof       waits until the peer closes or resets the connection; no more data must arrive
//	NAME close     closes the connection; NAME reset resets it; NAME stop closes the listener
//	@HOOK TEXT     calls a function of the test, which must return TEXT
//
// TEXT may contain Go escapes, and {NAME} for the address of a listener. A NAME that is not a listener is a client,
// which connects to the target at its first step.
//
// Tests: player_test.go replays a script that contains each verb (testdata/each-verb.txt), and checks how differences
// from a script are reported. The tests of dataplane/ingress, dataplane/upstream, proxy, standalone/discovery,
// standalone/counterclient, standalone/node and cmd/mulleinrouter replay their own scripts.
package exchange
