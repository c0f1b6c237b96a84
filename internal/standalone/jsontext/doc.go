// Package jsontext is the one place of the ingress in service where JSON is read and written, with the semantics of
// encoding/json. It imports nothing of this repository and has no state. Tests are beside it.
package jsontext
