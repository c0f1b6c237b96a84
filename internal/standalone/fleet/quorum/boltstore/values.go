package boltstore

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"

	"mulleinrouter/internal/standalone/fleet/quorum"
)

// Buckets, and keys of the bucket meta. They are part of the file format and must not change.
var (
	bucketMeta = []byte("meta")
	bucketLog  = []byte("log") // entries by index, see logKey

	keyID         = []byte("id")
	keyBoot       = []byte("boot")
	keyVoterNames = []byte("names")
	keyHardState  = []byte("hard")
	keySnapshot   = []byte("snapshot")
	keyPeers      = []byte("witness")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksumLength is the length of the checksum before each value, in bytes.
const checksumLength = 4

// logKey returns the key of an entry. It is big-endian, so that keys are sorted by index.
func logKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// checksum returns the checksum of a key and its value.
func checksum(key, value []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, value)
}

// put stores a value after its checksum.
func put(b *bbolt.Bucket, key, value []byte) error {
	return b.Put(key, append(binary.BigEndian.AppendUint32(nil, checksum(key, value)), value...))
}

func putUint64(b *bbolt.Bucket, key []byte, value uint64) error {
	return put(b, key, binary.BigEndian.AppendUint64(nil, value))
}

func putCBOR[T any](b *bbolt.Bucket, key []byte, value T) error {
	data, err := cbor.Marshal(value)
	if err != nil {
		return err
	}
	return put(b, key, data)
}

// get returns a copy of a value; nil if there is none.
func get(b *bbolt.Bucket, key []byte) ([]byte, error) {
	stored := b.Get(key)
	if stored == nil {
		return nil, nil
	}
	return verifyChecksum(key, stored)
}

// verifyChecksum checks the checksum of a stored value, and returns a copy of the value without it.
func verifyChecksum(key, stored []byte) ([]byte, error) {
	if len(stored) < checksumLength {
		return nil, fmt.Errorf("%w: %q is too short", quorum.ErrCorrupt, key)
	}
	value := stored[checksumLength:]
	if binary.BigEndian.Uint32(stored) != checksum(key, value) {
		return nil, fmt.Errorf("%w: the checksum of %q is wrong", quorum.ErrCorrupt, key)
	}
	return append([]byte{}, value...), nil
}

func readUint64(b []byte, into *uint64) error {
	if len(b) != 8 {
		return quorum.ErrCorrupt
	}
	*into = binary.BigEndian.Uint64(b)
	return nil
}
