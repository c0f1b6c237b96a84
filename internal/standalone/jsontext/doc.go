// Package jsontext encodes and decodes JSON for the standalone ingress, with the semantics of encoding/json. Package
// usageexport also uses the same JSON library directly; the other packages of the ingress use jsontext. It imports no
// package of this repository and has no state.
package jsontext
