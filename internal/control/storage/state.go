package storage

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/shard"
)

// State is the content of a folder when it is opened.
type State struct {
	// Empty means that the folder has never held an electorate. The vote of this node must not count until an
	// electorate lists it again.
	Empty        bool
	Acceptor     consensus.Acceptor   // Pending is the accepted proposal that is not known to be chosen
	Items        []configuration.Item // chosen items in the order of their keys
	Instances    []registry.Instance  // server instances of all phases, as last written
	IngressCount int                  // recent number of ingresses; 0 means never counted
	Stage        *StageProgress       // progress of a catch-up; nil if none is in progress
	StagedItems  []configuration.Item // items fetched by that catch-up, not part of Items yet
	Shards       map[uint32]shard.State

	version int // version of the records; 0 means that there are none
}

// StageProgress is the progress of a catch-up. The fetched items are staged, which means that they are stored without
// being part of the chosen configuration, until all of them have been fetched.
type StageProgress struct {
	BaseEpoch    uint64 `cbor:"1,keyasint"` // all changes up to this epoch are part of the configuration or staged
	FirstEpoch   uint64 `cbor:"2,keyasint"` // epoch of the first chunk of this pass
	LastEpoch    uint64 `cbor:"3,keyasint"` // epoch of the last chunk of this pass
	NextPosition uint64 `cbor:"4,keyasint"` // position (configuration.Key.Position) from which the pass continues
}

// readState reads all records.
func readState(db *pebble.DB) (state State, err error) {
	records, err := db.NewIter(nil)
	if err != nil {
		return state, err
	}
	defer func() { err = errors.CombineErrors(err, records.Close()) }()
	for records.First(); records.Valid(); records.Next() {
		if err := state.readRecord(records.Key(), records.Value()); err != nil {
			return state, errors.Wrapf(err, "key %q", records.Key())
		}
	}
	state.Empty = !state.Acceptor.Electorate.Known()
	return state, records.Error()
}

// readRecord adds one record to the state. Records are read in the order of their keys.
func (s *State) readRecord(key, value []byte) error {
	switch key[0] {
	case keyVersion[0]:
		return s.readVersion(value)
	case keyVoters[0]:
		return s.readInitialVoters(value)
	case keyAcceptor[0]:
		return decoding.Unmarshal(value, &s.Acceptor)
	case keyPending[0]:
		s.Acceptor.Pending = new(consensus.Proposal)
		return decoding.Unmarshal(value, s.Acceptor.Pending)
	case keyIngressCount[0]:
		return decoding.Unmarshal(value, &s.IngressCount)
	case keyStage[0]:
		s.Stage = new(StageProgress)
		return decoding.Unmarshal(value, s.Stage)
	case prefixItem:
		return appendDecoded(&s.Items, value)
	case prefixStaged:
		return appendDecoded(&s.StagedItems, value)
	case prefixInstance:
		return appendDecoded(&s.Instances, value)
	case prefixShard:
		return s.readShard(key, value)
	case prefixRecord:
		return s.readShardRecord(key, value)
	}
	return ErrUnknownKey
}

// readShard reads the header of a shard, whose key sorts before those of the shard's records.
func (s *State) readShard(key, value []byte) error {
	number, _, err := splitShardKey(key)
	if err != nil {
		return err
	}
	if s.Shards == nil {
		s.Shards = map[uint32]shard.State{}
	}
	state := shard.State{Records: map[string][]byte{}}
	err = decoding.Unmarshal(value, &state.Header)
	s.Shards[number] = state
	return err
}

func (s *State) readShardRecord(key, value []byte) error {
	number, name, err := splitShardKey(key)
	if err != nil {
		return err
	}
	state, ok := s.Shards[number]
	if !ok {
		return ErrUnknownKey
	}
	state.Records[name] = bytes.Clone(value)
	return nil
}

// readInitialVoters reads the addresses of voters, which formats up to version 2 have instead of an electorate. The
// record of the acceptor is read before, because its key sorts before this one.
func (s *State) readInitialVoters(value []byte) error {
	var addresses []string
	if err := decoding.Unmarshal(value, &addresses); err != nil {
		return err
	}
	if !s.Acceptor.Electorate.Known() {
		s.Acceptor.Electorate = consensus.InitialElectorate(addresses)
	}
	return nil
}

func (s *State) readVersion(value []byte) error {
	if err := decoding.Unmarshal(value, &s.version); err != nil {
		return err
	}
	if s.version > formatVersion {
		return errors.Wrapf(ErrNewerFormat, "version %d, this program reads up to %d", s.version, formatVersion)
	}
	return nil
}

func appendDecoded[T any](list *[]T, value []byte) error {
	var decoded T
	err := decoding.Unmarshal(value, &decoded)
	*list = append(*list, decoded)
	return err
}
