package storage

import (
	"github.com/fxamacker/cbor/v2"

	"mulleinrouter/internal/cluster/configuration"
)

// formatVersion is the version of the records on disk. A folder of a later version is not opened.
const formatVersion = 3

// Keys of records that there is one of.
var (
	keyVersion  = []byte("v")
	keyVoters   = []byte("m") // up to version 2: addresses of the voters of the first start
	keyAcceptor = []byte("a")
	keyPending  = []byte("p")
	keyMembers  = []byte("n")
	keyStage    = []byte("t")
)

// First bytes of the keys of records that there are many of.
const (
	prefixItem     = 'i' // then the kind and the name
	prefixInstance = 'l' // then the id
	prefixStaged   = 's' // an item of a catch-up that is not complete; then the kind and the name
)

// maxArrayElements bounds the arrays of a record: as many as the bytes allow that a proposal may have on its way here.
const maxArrayElements = 1 << 21

var decoding = newDecoding()

func newDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxArrayElements}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// itemKey is the key of an item's record, chosen or staged.
func itemKey(prefix byte, k configuration.Key) []byte {
	return append([]byte{prefix, byte(k.Kind)}, k.Name...)
}

// instanceKey is the key of an instance's record.
func instanceKey(id string) []byte {
	return append([]byte{prefixInstance}, id...)
}
