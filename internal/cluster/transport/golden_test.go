package transport

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/coordination"
	"mulleinrouter/internal/cluster/registry"
	"mulleinrouter/internal/cluster/shard"
)

// goldenFramesFile contains frames as version 76a3bb5 encoded them, one per line: the name, and the bytes in
// hexadecimal.
const goldenFramesFile = "testdata/frames-76a3bb5.txt"

// goldenCoordinationFile contains the frames with later types of messages, as the first version with them encoded them.
const goldenCoordinationFile = "testdata/frames-coordination.txt"

// goldenReportsFile contains the frames with reports about other nodes, as the first version with them encoded them.
const goldenReportsFile = "testdata/frames-reports.txt"

// goldenFrame is a frame with its name in the recorded files.
type goldenFrame struct {
	name  string
	frame *Frame
}

// Values in the golden frames.
var (
	goldenBallot  = consensus.Ballot{Round: 1 << 33, Node: "10.0.0.1:7000/17"}
	goldenHistory = configuration.History{{Version: 6, Digest: 1<<64 - 1}, {Version: 2, Digest: 5}}
	goldenItems   = []configuration.Item{
		{
			Key:     configuration.Key{Kind: configuration.Routes, Name: "route-1"},
			Version: 7,
			Body:    []byte(`{"a":"ü"}`),
			Epoch:   4,
			History: &goldenHistory,
		},
		{Key: configuration.Key{Kind: configuration.Limits}, Version: 1, Deleted: true},
	}
	goldenInstances = []registry.Instance{
		{
			ID: "server-1", Service: "s", Address: "10.1.0.1:80", Zone: "a", Generation: "g", Capacity: 3,
			Phase: registry.Silent,
			Seq:   9, SlowStartUntil: 12.25,
		},
		{ID: "server-2"},
	}
	goldenVoters   = []consensus.Voter{{Addr: "10.0.0.1:7000"}, {Addr: "10.0.0.2:7000", Disk: 1<<64 - 2}}
	goldenProposal = consensus.Proposal{Ballot: goldenBallot, Epoch: 5, Items: goldenItems, Voters: goldenVoters}
	goldenBare     = consensus.Proposal{Ballot: goldenBallot, Epoch: 5}
)

// goldenFrames returns a frame of each type of message with all fields set, and one with no fields set if that is
// encoded differently.
func goldenFrames() []goldenFrame {
	return slices.Concat(goldenSubscriptionFrames(), goldenConsensusFrames(), goldenCatchUpFrames(),
		goldenCoordinationFrames())
}

func goldenCoordinationFrames() []goldenFrame {
	expected := uint64(7)
	position := shard.Position{Term: 3, Seq: 1 << 33}
	return []goldenFrame{
		{"shard messages", &Frame{Coordination: &Coordination{Messages: []shard.Message{
			{
				Shard: 5, Kind: shard.Append, Term: 4, Disk: 1 << 63, Last: position,
				Pre: true, Transfer: true, OK: true,
				Prev: shard.Position{Term: 2, Seq: 9}, Sent: 12.5, Voters: goldenVoters,
				Batches: []shard.Batch{{
					Position: position, Voters: goldenVoters,
					Writes: []shard.Write{{Key: "lx", Value: []byte{1, 2}}, {Key: "ly"}},
				}},
				Records: []shard.Write{{Key: "c", Value: []byte{1}}},
			},
			{},
		}}}},
		{"coordination call", &Frame{Coordination: &Coordination{Calls: []CoordinationCall{
			{ID: 1 << 40, Request: coordination.Request{
				Kind: coordination.PutCell, Name: "g1.a", Owner: "a.1", Fence: 41, HoldMs: 3000, Value: "ü",
				Expected: &expected, After: 8, WaitMs: 2000,
			}},
			{},
		}}}},
		{"coordination reply", &Frame{Coordination: &Coordination{Replies: []CoordinationReply{
			{ID: 1, Status: CoordinationAnswered, Leader: "10.0.0.1:7000", Result: coordination.Result{
				Code: coordination.OK, Fence: 41, Number: 5120, Revision: 931, Value: "v",
				Events: []coordination.Event{{Name: "g1.a", Value: "v", Revision: 931}},
			}},
			{},
		}}}},
		{"bare coordination", &Frame{Coordination: &Coordination{}}},
		{"hello that accepts parts", &Frame{Hello: &Hello{Node: "edge-1", Class: "agent", AcceptsParts: true}}},
		{"part of an item", &Frame{Update: &Update{Incarnation: 5, Seq: 6, Part: &ItemPart{
			Key: configuration.Key{Kind: configuration.Tenants, Name: "t"}, Version: 7,
			Offset: 3, Length: 1 << 20, Data: []byte("abc"),
		}}}},
		{"confirmed release", &Frame{Coordination: &Coordination{Calls: []CoordinationCall{{
			ID: 2, Request: coordination.Request{
				Kind: coordination.ReleaseLock, Name: "l", Owner: "a.1", Fence: 41,
				SentAfter: &coordination.HoldState{Term: 7, Prolongations: 3},
			},
		}}}}},
		{"unconfirmed release", &Frame{Coordination: &Coordination{Replies: []CoordinationReply{{
			ID: 2, Status: CoordinationAnswered, Result: coordination.Result{
				Code: coordination.Unconfirmed, Hold: &coordination.HoldState{Term: 7, Prolongations: 3},
			},
		}}}}},
	}
}

func goldenSubscriptionFrames() []goldenFrame {
	return []goldenFrame{
		{"empty", &Frame{}},
		{"empty reply", &Frame{Call: 1 << 40}},
		{"hello", &Frame{Hello: &Hello{
			Node: "edge-1", Class: "control", Incarnation: 1<<64 - 1, SourceIncarnation: 5, Seq: 6,
			Instances: goldenInstances,
			Epoch:     8, Zone: "a", ControlAddr: "10.0.0.3:7000", Digests: []byte{1, 2, 0xff},
		}}},
		{"bare hello", &Frame{Hello: &Hello{}}},
		{"update", &Frame{Update: &Update{
			Incarnation: 3, Seq: 4, Complete: true, Items: goldenItems, Instances: goldenInstances,
			Heartbeats: []Heartbeat{
				{ID: "server-1", Seq: 10},
				{},
			},
			Members: 2, Clock: 1.5, Epoch: 9, Ready: true, Quorum: true, Rank: 1, ZonePeers: 2, LinkDelay: 0.001,
			Voters: []string{"10.0.0.1:7000"}, MatchingBuckets: []byte{0x80},
		}}},
		{"bare update", &Frame{Update: &Update{}}},
		{"renewal", &Frame{Renewal: &Renewal{Clock: 17.125, Ready: true}}},
		{"bare renewal", &Frame{Renewal: &Renewal{}}},
		{"counter add", &Frame{Call: 1, CounterAdd: &CounterAdd{
			Name: "t/1", Cycle: -3, Reporter: "edge-1", Amount: 2.5, ReadOnly: true, Retention: 60, PerRequest: true,
			Serial: 8,
		}}},
		{"bare counter add", &Frame{Call: 1, CounterAdd: &CounterAdd{}}},
		{"counter total", &Frame{Call: 1, CounterTotal: &CounterTotal{OK: true, Sum: 1e9 + 0.5, Reporters: 3}}},
		{"bare counter total", &Frame{Call: 1, CounterTotal: &CounterTotal{}}},
	}
}

func goldenConsensusFrames() []goldenFrame {
	return []goldenFrame{
		{"prepare", &Frame{Call: 2, Prepare: &Prepare{Ballot: goldenBallot, ReadOnly: true, Synced: true}}},
		{"bare prepare", &Frame{Call: 2, Prepare: &Prepare{}}},
		{"promise", &Frame{Call: 2, Promise: &Promise{
			consensus.Promise{OK: true, Promised: goldenBallot, Epoch: 4, Pending: &goldenProposal, Disk: 1 << 63},
		}}},
		{"bare promise", &Frame{Call: 2, Promise: &Promise{}}},
		{"accept", &Frame{Call: 3, Accept: &Accept{goldenProposal}}},
		{"bare accept", &Frame{Call: 3, Accept: &Accept{goldenBare}}},
		{
			"accepted",
			&Frame{Call: 3, Accepted: &Accepted{
				consensus.Accepted{OK: true, Behind: true, Promised: goldenBallot, Epoch: 4},
			}},
		},
		{"bare accepted", &Frame{Call: 3, Accepted: &Accepted{}}},
		{"chosen", &Frame{Chosen: &Chosen{goldenProposal}}},
		{"bare chosen", &Frame{Call: 4, Chosen: &Chosen{goldenBare}}},
	}
}

func goldenCatchUpFrames() []goldenFrame {
	return []goldenFrame{
		{"catch-up request", &Frame{Call: 5, CatchUpRequest: &CatchUpRequest{
			Epoch: 1, EmptyDisk: true, FromPosition: 1<<64 - 1, NewestEpoch: 3, MaxBytes: 65536,
			AfterInstance: "server-1",
		}}},
		{"bare catch-up request", &Frame{Call: 5, CatchUpRequest: &CatchUpRequest{}}},
		{"catch-up chunk", &Frame{Call: 5, CatchUpChunk: &CatchUpChunk{
			NextPosition: 1 << 63, MoreInstances: true, Epoch: 3, Items: goldenItems, Voters: []string{
				"10.0.0.1:7000",
			}, Instances: goldenInstances,
			Electorate: consensus.Electorate{Since: 2, Voters: goldenVoters},
		}}},
		{"bare catch-up chunk", &Frame{Call: 5, CatchUpChunk: &CatchUpChunk{}}},
		{"persist request", &Frame{Call: 6, PersistRequest: &PersistRequest{Instances: goldenInstances}}},
		{"bare persist request", &Frame{Call: 6, PersistRequest: &PersistRequest{}}},
		{"persist reply", &Frame{Call: 6, PersistReply: &PersistReply{OK: true}}},
		{"bare persist reply", &Frame{Call: 6, PersistReply: &PersistReply{}}},
		{"ping", &Frame{Call: 7, Ping: &Ping{}}},
		{"ping about a node", &Frame{Call: 7, Ping: &Ping{About: "10.0.0.1:7000"}}},
		{"pong", &Frame{Call: 7, Pong: &Pong{Answered: true, AnsweredAgo: 1.25}}},
		{"bare pong", &Frame{Call: 7, Pong: &Pong{}}},
		{"pong of a leaving node", &Frame{Call: 7, Pong: &Pong{Leaving: true}}},
		{"update with recent members", &Frame{Update: &Update{Incarnation: 5, Seq: 6, Members: 4, RecentMembers: 11}}},
	}
}

// readGoldenFrames returns the recorded bytes of all frames by name.
func readGoldenFrames(t *testing.T) map[string][]byte {
	t.Helper()
	var lines []string
	for _, name := range []string{goldenFramesFile, goldenCoordinationFile, goldenReportsFile} {
		file, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		lines = slices.AppendSeq(lines, strings.Lines(string(file)))
	}
	recorded := map[string][]byte{}
	for _, line := range lines {
		name, digits, _ := strings.Cut(strings.TrimSpace(line), " = ")
		var err error
		if recorded[name], err = hex.DecodeString(digits); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
	}
	return recorded
}

// Each type of message must be encoded byte for byte as by the recorded version, and the recorded bytes must decode to
// the same message.
func TestGoldenFrames(t *testing.T) {
	recorded := readGoldenFrames(t)
	if got, want := len(recorded), len(goldenFrames()); got != want {
		t.Errorf("%d recorded frames, want %d", got, want)
	}
	for _, golden := range goldenFrames() {
		t.Run(golden.name, func(t *testing.T) {
			want := recorded[golden.name]
			got, err := Append(nil, golden.frame)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(got, want) {
				t.Errorf("encoded:\ngot  %x\nwant %x", got, want)
			}
			frame, err := Read(bufio.NewReader(bytes.NewReader(want)), MaxControlFrame)
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(frame, golden.frame) {
				t.Errorf("decoded: got %+v, want %+v", frame, golden.frame)
			}
		})
	}
}

// The golden frames must include all types of messages.
func TestGoldenFramesCoverAllMessages(t *testing.T) {
	covered := map[string]bool{}
	for _, golden := range goldenFrames() {
		frame := reflect.ValueOf(*golden.frame)
		for n := range frame.NumField() {
			if !frame.Field(n).IsZero() {
				covered[frame.Type().Field(n).Name] = true
			}
		}
	}
	for n := range reflect.TypeFor[Frame]().NumField() {
		if name := reflect.TypeFor[Frame]().Field(n).Name; !covered[name] {
			t.Errorf("no golden frame has %s", name)
		}
	}
}
