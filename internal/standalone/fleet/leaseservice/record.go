package leaseservice

import (
	"time"

	"github.com/go-kit/log/level"
)

const (
	// recordInterval is the time between two stores of the record while the ingress holds a role.
	recordInterval = 500 * time.Millisecond
	// idleRecordTicks is the number of recordIntervals between two stores while the ingress holds no role.
	idleRecordTicks = 4
	// recordTimeout is how long storing the record may take, in addition to the interval between two stores while idle,
	// until it counts as failed.
	recordTimeout = 2 * time.Second
)

// Record lists the leases that an ingress holds. Storing it proves that the disk works and has space: an ingress that
// cannot store the results of its work must not hold a role. Its JSON names are those of the first version.
type Record struct {
	Name   string            `json:"Name"`
	Boot   uint64            `json:"Boot"`
	Tokens map[string]uint64 `json:"Tokens"` // fencing tokens by role
}

// storeRecords stores the record periodically until the service is stopped.
func (s *Service) storeRecords() {
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		r := s.record()
		if len(r.Tokens) > 0 || n%idleRecordTicks == 0 {
			s.handleStoreResult(s.options.StoreRecord(r))
		}
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// record returns the current record.
func (s *Service) record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	self := s.options.Fleet.Self()
	r := Record{Name: self.Name, Boot: self.Boot, Tokens: map[string]uint64{}}
	for name := range s.roles {
		if token, ok := s.leaseHolder.FencingToken(s.now(), name); ok {
			r.Tokens[name] = token
		}
	}
	return r
}

// handleStoreResult records the outcome of storing the record. It resigns all roles after a failure, and requests
// them again after the next success.
func (s *Service) handleStoreResult(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordCheckedAt = time.Since(s.startedAt)
	switch {
	case err != nil && !s.recordFailed:
		s.recordFailed = true
		level.Error(s.log("duty-no-room")).Log(
			"msg", "lease record cannot be stored; singleton roles are resigned until it can",
			"error", err,
		)
		s.resignAll()
	case err == nil && s.recordFailed:
		s.recordFailed = false
		level.Info(s.log("duty-room")).Log("msg", "lease record can be stored again")
		s.acquireAll()
	}
}

// checkRecordTimeout resigns all roles if storing the record has not returned in time, which means that the disk hangs.
// The caller holds s.mu.
func (s *Service) checkRecordTimeout(now time.Duration) {
	if s.options.StoreRecord == nil || s.recordFailed {
		return
	}
	if now-s.recordCheckedAt <= recordTimeout+idleRecordTicks*recordInterval {
		return
	}
	s.recordFailed = true
	level.Error(s.log("duty-no-room")).Log(
		"msg", "lease record not stored in time; singleton roles are resigned until it is",
	)
	s.resignAll()
}
