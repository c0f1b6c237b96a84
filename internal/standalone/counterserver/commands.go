package counterserver

import (
	"hash/fnv"
	"io"
	"math"
	"strconv"
	"strings"
	"time"
)

// Replies in RESP2.
const (
	replyPong          = "+PONG\r\n"
	replyOK            = "+OK\r\n"
	replyBusy          = "-BUSY\r\n"
	replyProtocolError = "-ERR Protocol error\r\n"
	replyUnknown       = "-ERR unknown command\r\n"
	replyArgumentCount = "-ERR wrong number of arguments\r\n"
	replyBadArguments  = "-ERR no such call\r\n"
)

// addition holds the arguments of the call CNT.ADD NAME AMOUNT KEEP.
type addition struct {
	name   string
	amount float64
	keepMs int64
}

// execute executes a call and returns its reply. The reply is empty if an injected fault suppresses it.
func (s *Server) execute(args []string) string {
	switch strings.ToUpper(args[0]) {
	case "PING":
		return replyPong
	case "CLIENT", "SELECT":
		return replyOK
	case "CNT.ADD":
	default:
		return replyUnknown
	}
	if len(args) != 4 {
		return replyArgumentCount
	}
	a, ok := parseAddition(args[1:])
	if !ok {
		return replyBadArguments
	}
	return s.add(a)
}

// parseAddition parses the arguments of CNT.ADD. It returns false if one is malformed or out of range.
func parseAddition(args []string) (a addition, ok bool) {
	a.name = args[0]
	amount, amountErr := strconv.ParseFloat(args[1], 64)
	keepMs, keepErr := strconv.ParseInt(args[2], 10, 64)
	a.amount, a.keepMs = amount, keepMs
	if amountErr != nil || keepErr != nil {
		return a, false
	}
	if math.IsNaN(amount) || math.Abs(amount) > MaxAmount || keepMs < 1 {
		return a, false
	}
	return a, a.name != "" && len(a.name) <= MaxNameBytes
}

// add adds to a total and returns the reply, both subject to the injected fault.
func (s *Server) add(a addition) string {
	s.calls.Add(1)
	fault := s.fault.Load()
	if fault == nil {
		fault = &Fault{}
	}
	if fault.Busy {
		return replyBusy
	}
	total, ok := s.shard(a.name).add(a, fault.Delay)
	switch {
	case fault.Silent:
		return ""
	case !ok:
		return replyBusy
	}
	return bulk(strconv.FormatFloat(total, 'f', -1, 64))
}

// shard returns the shard that holds a name.
func (s *Server) shard(name string) *shard {
	h := fnv.New32a()
	io.WriteString(h, name)
	return &s.shards[h.Sum32()%uint32(len(s.shards))]
}

// add adds to a total after an injected delay. The shard is locked meanwhile, so its other calls wait.
func (sh *shard) add(a addition, delay time.Duration) (total float64, ok bool) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	return sh.store.Add(time.Now().UnixMilli(), a.name, a.amount, a.keepMs)
}
