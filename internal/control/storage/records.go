package storage

import (
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"

	"mulleinrouter/internal/cluster/configuration"
)

// Versions of the records on disk. A folder of a later version than formatVersion is not opened. Version 4 adds shards.
// A folder without shards keeps version 3, so that programs without shards can open it too.
const (
	baseVersion   = 3
	shardVersion  = 4
	formatVersion = shardVersion
)

// Keys of records that exist at most once.
var (
	keyVersion      = []byte("v")
	keyVoters       = []byte("m") // up to version 2: addresses of the voters of the first start
	keyAcceptor     = []byte("a")
	keyPending      = []byte("p")
	keyIngressCount = []byte("n")
	keyStage        = []byte("t")
)

// First bytes of the keys of records that may exist many times.
const (
	prefixItem     = 'i' // chosen item; then the kind and the name
	prefixInstance = 'l' // server instance; then the id
	prefixStaged   = 's' // item of an incomplete catch-up; then the kind and the name
	prefixShard    = 'h' // header of a shard; then its number in four bytes, big endian
	prefixRecord   = 'r' // record of a shard; then the shard's number as above, and the record's key
)

const shardNumberBytes = 4 // of a shard's number in a key

// maxArrayElements limits the arrays of a record. A proposal that fits into the messages between nodes can't have more
// elements.
const maxArrayElements = 1 << 21

var decoding = newDecoding()

func newDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxArrayElements}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// itemKey returns the key of the record of an item, chosen or staged.
func itemKey(prefix byte, k configuration.Key) []byte {
	return append([]byte{prefix, byte(k.Kind)}, k.Name...)
}

// shardKey returns the key of a shard's header.
func shardKey(shard uint32) []byte { return binary.BigEndian.AppendUint32([]byte{prefixShard}, shard) }

// shardRecordKey returns the key of a record of a shard.
func shardRecordKey(shard uint32, key string) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{prefixRecord}, shard), key...)
}

// splitShardKey returns the shard in a key, and the rest of the key after it.
func splitShardKey(key []byte) (shard uint32, rest string, err error) {
	if len(key) < 1+shardNumberBytes {
		return 0, "", ErrUnknownKey
	}
	return binary.BigEndian.Uint32(key[1:]), string(key[1+shardNumberBytes:]), nil
}

// instanceKey returns the key of an instance's record.
func instanceKey(id string) []byte {
	return append([]byte{prefixInstance}, id...)
}
