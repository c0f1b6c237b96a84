package node

import (
	"context"
	"errors"
	"io/fs"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"mulleinrouter/internal/decision"
	"mulleinrouter/internal/standalone/handover"
	"mulleinrouter/internal/standalone/state"
)

const (
	records, knowledge = "record", "knowledge" // kinds of files

	beat     = time.Duration(handover.Beat * float64(time.Second))
	handWait = time.Second           // for an older process to hand over what it has learned
	handLook = 20 * time.Millisecond // between looks for it
	oldFile  = 60.0                  // s after its last beat a record is taken away: its process was killed
)

// pair is this process beside others of the same ingress, while one upgrades another.
type pair struct {
	folder *state.Folder
	member *handover.Member
	log    *logrus.Logger

	handed   map[int64]bool // younger processes that have had what was learned here
	trouble  bool           // at this beat something could not be written or read
	told     bool           // that there is trouble
	together bool           // others were there at the last beat
}

// beside makes this process known to those of the same ingress that run beside it; nil where there is no folder, or none
// could run beside it.
func beside(dir, name, listen string, process int64, log *logrus.Logger) *pair {
	if _, port, err := net.SplitHostPort(listen); dir == "" || err != nil || port == "0" {
		return nil
	}
	return &pair{folder: state.Open(dir, name+" "+listen, process), member: handover.New(process, unix()), log: log, handed: map[int64]bool{}}
}

// unix is the time that processes of one machine share.
func unix() float64 { return float64(time.Now().UnixNano()) / 1e9 }

// others reads the records of the processes beside this one. What cannot be read is not there.
func (p *pair) others() (all []handover.Record, err error) {
	processes, err := p.folder.Processes(records)
	if err != nil {
		return nil, err
	}
	for _, process := range processes {
		var r handover.Record
		if err := p.folder.Read(records, process, &r); err != nil {
			if !errors.Is(err, fs.ErrNotExist) { // it left meanwhile
				p.tell(err)
			}
			continue
		}
		if unix()-r.Beat > oldFile {
			p.folder.Remove(records, process)
			p.folder.Remove(knowledge, process)
			continue
		}
		all = append(all, r)
	}
	return all, nil
}

// tell leaves one line when trouble begins.
func (p *pair) tell(err error) {
	if err == nil {
		return
	}
	if p.trouble = true; !p.told {
		p.told = true
		p.log.WithField("code", "state-unusable").WithError(err).Warn("a process beside this one may not know of it")
	}
}

// turn is a beat. Share hands over what was learned, once to each younger process; nil: there is nothing yet.
func (p *pair) turn(share func() decision.Knowledge) handover.View {
	p.trouble = false
	all, err := p.others()
	p.tell(err)
	v := p.member.Turn(unix(), all)
	for _, process := range v.Younger {
		if share != nil && !p.handed[process] {
			p.handed[process] = true
			p.tell(p.folder.Write(knowledge, share()))
		}
	}
	p.tell(p.folder.Write(records, v.Own))
	if p.told && !p.trouble {
		p.told = false
		p.log.WithField("code", "state-usable").Info("the processes of this ingress know of each other again")
	}
	if together := !v.Alone; together != p.together {
		p.together = together
		p.log.WithFields(logrus.Fields{"code": "process-overlap", "together": together, "part": v.Own.Part}).Info("another process of this ingress came, or went")
	}
	return v
}

// learn waits a moment for what an older process hands over; nil where there is none, or it does not.
func (p *pair) learn() *decision.Knowledge {
	begun := unix()
	alone := p.turn(nil).Alone
	for end := time.Now().Add(handWait); !alone && time.Now().Before(end); time.Sleep(handLook) {
		processes, err := p.folder.Processes(knowledge)
		p.tell(err)
		for _, process := range processes {
			var k decision.Knowledge
			if err := p.folder.Read(knowledge, process, &k); err != nil {
				p.tell(err)
			} else if k.At > begun-handover.Lease {
				return &k
			}
		}
	}
	return nil
}

// beats looks after the pair until the context ends, and then takes this process's files away.
func (n *Node) beats(ctx context.Context) {
	ticker := time.NewTicker(beat)
	defer ticker.Stop()
	for n.beat(); ; n.beat() {
		select {
		case <-ctx.Done():
			n.pair.folder.Remove(records, n.pair.folder.Process())
			n.pair.folder.Remove(knowledge, n.pair.folder.Process())
			return
		case <-ticker.C:
			if n.leaving.Load() {
				n.pair.member.Leave()
			}
		}
	}
}

// beat is one turn; the module is told how much of the ingress this process is, and for how long that holds unless it is
// renewed: a process that is stopped and wakes must not act on a part that others have taken.
func (n *Node) beat() {
	v := n.pair.turn(n.engine.HandOver)
	n.younger.Store(len(v.Younger) > 0)
	lease := 0.0
	if !v.Alone {
		lease = handover.Lease
	}
	n.engine.SetShare(v.Own.Part, v.Junior, lease)
}
