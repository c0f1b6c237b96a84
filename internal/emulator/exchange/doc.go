// Package exchange plays recorded byte exchanges, kept in text files, over real sockets against the code under test.
// Only tests import it; it imports nothing of the project. A Player owns the listeners and connections of one test
// and closes them when that test ends.
//
// A line of a script is a step; empty lines and those that begin with # are ignored.
//
//	let KEY TEXT   {KEY} stands for TEXT in the steps that follow
//	NAME > TEXT    writes TEXT and a line end; NAME >> TEXT leaves the line end out
//	NAME < TEXT    reads as many lines as TEXT has, which must be equal; a * at a line's end stands for any rest
//	NAME << TEXT   reads as many bytes as TEXT has, which must be equal
//	NAME takes T   reads a complete request, body included, that begins with the line T
//	NAME takes head T  the same without its body
//	NAME chunk T   writes T as one line in a chunk of a chunked body
//	NAME sends N K writes bytes K to N of the body that Body generates
//	NAME gets N K  reads as many, which must be equal
//	NAME whole N   reads a chunked body, which must be bytes 0 to N; NAME chunks N leaves its trailer unread
//	NAME accept    accepts the next connection to a listener; the first one is accepted without it
//	NAME eof       the peer must close the connection
//	NAME close     closes it; NAME reset does so with a reset; NAME stop closes the listener
//	@HOOK TEXT     calls a function of the test, which must return TEXT
//
// TEXT may contain Go escapes, and {NAME} for the address of a listener. A name that is no listener is a
// client, which connects with its first step.
//
// Tests: player_test.go plays a script that has each verb (testdata/each-verb.txt) and what differs from a script;
// those of dataplane/ingress, dataplane/upstream, standalone/discovery, standalone/counterclient and
// cmd/mulleinrouter play scripts of their own.
package exchange
