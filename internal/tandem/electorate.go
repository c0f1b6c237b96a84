package tandem

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mulleinrouter/internal/office/trunk"
	"mulleinrouter/internal/tandem/ballot"
)

const takeInMost = 2 * time.Second // for a change of the electorate, from its proposal until it is sealed

// errMoved means that the electorate is another one than that which was judged.
var errMoved = errors.New("the electorate has changed meanwhile")

// move is a change of the electorate: from the one that was judged to these voters.
type move struct {
	from ballot.Electorate
	to   []ballot.Voter
}

// join finds out who chooses, and has this node taken into the electorate where its address is listed with a disk that is lost.
func (n *Node) join(ctx context.Context, all *sync.WaitGroup) {
	for ; ctx.Err() == nil; pause(ctx, askEach) {
		if base, _ := n.voter.base(); base.Electorate.Known() {
			break
		}
		n.inquire()
	}
	voters, votes := n.voter.electorate()
	n.meet(ctx, all, voters)
	if !votes {
		n.log.Log("msg", "relays", "voters", len(voters))
	}
}

// inquire asks the other nodes who chooses, and takes what they know.
func (n *Node) inquire() {
	var asking sync.WaitGroup
	n.each(func(x *peer) {
		asking.Go(func() {
			if i := n.inventory(x); i != nil {
				n.voter.take(&trunk.Since{Blank: true}, &trunk.Items{Epoch: i.Epoch, Electorate: i.Electorate, Voters: i.Voters})
			}
		})
	})
	asking.Wait()
}

// enroll has this node take the place of itself with the disk that is lost. It tells whether there is nothing to do.
func (n *Node) enroll() bool {
	base, _ := n.voter.base()
	self := n.voter.selfAs()
	listed, ok := base.Electorate.At(self.At)
	if !ok || listed == self {
		return true
	}
	err := n.desk.move(move{base.Electorate, base.Electorate.Replaced(self.At, self)}, takeInMost)
	if err != nil {
		n.log.Log("msg", "not in the electorate yet", "err", err)
		return false
	}
	base, _ = n.voter.base()
	n.log.Log("msg", "vote recovered", "epoch", base.Epoch)
	return true
}

// keepUp keeps up with the electorate: it meets who is new there, and has this node taken in.
func (n *Node) keepUp(ctx context.Context, all *sync.WaitGroup) {
	for ; ctx.Err() == nil; pause(ctx, askEach) {
		if n.vault.Load() == nil {
			continue
		}
		voters, _ := n.voter.electorate()
		n.meet(ctx, all, voters)
		n.enroll()
	}
}

// judge judges a move upon the whole as it is now: nil voters and no error mean that it is done.
func (m *move) judge(base ballot.Base) ([]ballot.Voter, error) {
	e := base.Electorate
	switch {
	case slices.Equal(e.Voters, m.to):
		return nil, nil
	case !e.Equal(m.from):
		return nil, errMoved
	}
	return m.to, nil
}
