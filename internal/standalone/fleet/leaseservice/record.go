package leaseservice

import (
	"time"

	"github.com/go-kit/log/level"
)

const (
	recordInterval  = 500 * time.Millisecond
	idleRecordTicks = 4               // of recordInterval, at which an ingress that holds nothing stores its record
	recordTimeout   = 2 * time.Second // beyond these, after which a record that is not stored counts as failed
)

// Record is what an ingress holds. Storing it proves that the disk has space: an ingress that cannot store what it
// does under a lease takes no role. Its JSON names are those of the first version.
type Record struct {
	Name   string            `json:"Name"`
	Boot   uint64            `json:"Boot"`
	Tokens map[string]uint64 `json:"Tokens"` // by role
}

// storeRecords stores the record again and again, until the service is stopped.
func (s *Service) storeRecords() {
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		r := s.record()
		if len(r.Tokens) > 0 || n%idleRecordTicks == 0 {
			s.recordStored(s.options.StoreRecord(r))
		}
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// record returns the present record.
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

// recordStored notes whether the record was stored.
func (s *Service) recordStored(err error) {
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

// checkRecordStored notes a disk that hangs: storing the record does not return. The caller holds s.mu.
func (s *Service) checkRecordStored(now time.Duration) {
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
