// Package jsontext encodes and decodes JSON for the standalone ingress, with the semantics of encoding/json. No other
// package of the ingress uses a JSON library directly. It imports no package of this repository and has no state.
package jsontext
