package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"mulleinrouter/internal/cluster/configuration"
	"mulleinrouter/internal/cluster/consensus"
	"mulleinrouter/internal/cluster/transport"
	"mulleinrouter/internal/control/mutant"
)

const (
	roundTimeout         = 300 * time.Millisecond // for the answers of a round
	timeoutPerMegabyte   = 400 * time.Millisecond // more, for each megabyte that goes with it
	timeoutPerItem       = time.Millisecond       // that an operator waits longer, for each item of a long call
	courtesyWait         = 40 * time.Millisecond  // that a round waits for another node's to end
	courtesyFactor       = 2                      // times as long, where it has lost none yet: who has lost some goes first
	backgroundRunTimeout = time.Second            // for a run that no operator waits for
	maxBatchCalls        = 128                    // calls that are proposed together
	maxBatchBytes        = 1 << 20                // of items in one proposal, about; the first call may be longer
)

// errNoMajority means that not enough of the control nodes answered in time. The change may or may not be taken later.
var errNoMajority = errors.New("not enough control nodes answer")

// pendingChange is a call of the operator on its way.
type pendingChange struct {
	items            []configuration.Item
	electorateChange *electorateChange // of the electorate, instead of items
	deadline         time.Time
	done             chan error // nil, *configuration.Refusal or errNoMajority
	abandoned        atomic.Bool
}

func (c *pendingChange) answer(err error) {
	select {
	case c.done <- err:
	default:
	}
}

// isAbandoned tells whether nobody waits for the answer any more.
func (c *pendingChange) isAbandoned() bool {
	return c.abandoned.Load() && !mutant.Active("proposes-gone")
}

// proposalQueue has the changes and the readings of this node led to their end, one run after the other, by one goroutine. Calls that wait
// together are chosen together.
type proposalQueue struct {
	n      *Node
	events chan func(*consensus.Proposer) consensus.Action // answers
	wake   chan struct{}

	mu            sync.Mutex
	changes       []*pendingChange
	chosen        atomic.Int64 // changes that this node led to a decision
	readers       []chan error
	confirmWanted bool // something is to be finished, or the snapshot here to be confirmed

	random       *rand.Rand
	proposer     *consensus.Proposer // its goroutine's
	included     []*pendingChange    // in the proposal below
	proposed     consensus.Ballot
	proposedUpon uint64
}

func newProposalQueue(n *Node) *proposalQueue {
	return &proposalQueue{n: n, random: rand.New(rand.NewPCG(n.incarnation, 1)), events: make(chan func(*consensus.Proposer) consensus.Action, 64), wake: make(chan struct{}, 1)}
}

// change has items chosen. It returns nil once they are, a *configuration.Refusal, or errNoMajority. Once whoever asks is gone (ctx), they are
// proposed no more: the operator has sent them elsewhere, and may have got an answer there that no late copy should belie.
func (d *proposalQueue) change(ctx context.Context, items []configuration.Item, most time.Duration) error {
	return d.submit(ctx, &pendingChange{items: items}, most)
}

// changeElectorate has the electorate changed. It returns nil once it is, and is on the disks of more than half of the new one.
func (d *proposalQueue) changeElectorate(ctx context.Context, m electorateChange, most time.Duration) error {
	return d.submit(ctx, &pendingChange{electorateChange: &m}, most)
}

func (d *proposalQueue) submit(ctx context.Context, c *pendingChange, most time.Duration) error {
	c.deadline, c.done = time.Now().Add(most), make(chan error, 1)
	d.enqueue(func() { d.changes = append(d.changes, c) })
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case err := <-c.done:
		return err
	case <-t.C:
	case <-ctx.Done():
	}
	c.abandoned.Store(true)
	return errNoMajority
}

// read returns nil once the snapshot here is as new as any that was acknowledged before.
func (d *proposalQueue) read(most time.Duration) error {
	done := make(chan error, 1)
	d.enqueue(func() { d.readers = append(d.readers, done) })
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case err := <-done:
		return err
	case <-t.C:
		return errNoMajority
	}
}

// confirm has a reading done that nobody waits for: it finishes what another left, and confirms the snapshot.
func (d *proposalQueue) confirm() { d.enqueue(func() { d.confirmWanted = true }) }

func (d *proposalQueue) enqueue(add func()) {
	d.mu.Lock()
	add()
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// waiting is how many changes wait to be proposed.
func (d *proposalQueue) waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.changes)
}

// take takes calls that wait, those that nobody waits for any more left out.
func (d *proposalQueue) take(most int) (calls []*pendingChange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.changes) > 0 && len(calls) < most {
		if c := d.changes[0]; !c.isAbandoned() {
			calls = append(calls, c)
		}
		d.changes[0] = nil
		d.changes = d.changes[1:]
	}
	return calls
}

func (d *proposalQueue) takeReaders() (readers []chan error, some bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	readers, some = d.readers, d.confirmWanted || len(d.readers) > 0
	d.readers, d.confirmWanted = nil, false
	return readers, some
}

// run is the goroutine.
func (d *proposalQueue) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case e := <-d.events:
			if d.proposer != nil {
				e(d.proposer) // late: nothing waits for it
			}
			continue
		case <-d.wake:
		}
		for more := true; more && ctx.Err() == nil; {
			more = false
			if calls := d.take(maxBatchCalls); len(calls) > 0 {
				more = true
				d.lead(ctx, calls)
			}
			if readers, some := d.takeReaders(); some {
				more = true
				term, held := d.n.majority.Current()
				err := d.lead(ctx, nil)
				if err != nil || !held {
					term = 0
				}
				d.n.confirmed.Store(term)
				d.n.store.NotifySubscribers()
				for _, r := range readers {
					r <- err
				}
			}
		}
	}
}

// ensureProposer has a proposer once the voters are known.
func (d *proposalQueue) ensureProposer() bool {
	if b, _ := d.n.replica.base(); !b.Electorate.Known() {
		return false
	}
	if d.proposer == nil {
		d.proposer = consensus.NewProposer(d.n.name+"/1", d.n.incarnation)
	}
	return true
}

// lead leads one run to its end: changes, or a reading where there are none.
func (d *proposalQueue) lead(ctx context.Context, calls []*pendingChange) error {
	reading := len(calls) == 0
	if !d.ensureProposer() {
		for _, c := range calls {
			c.answer(errNoMajority)
		}
		return errNoMajority
	}
	until := time.Now().Add(backgroundRunTimeout)
	if !reading {
		until = latestDeadline(calls)
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	d.included = nil
	lost := 0 // rounds
	d.yield(ctx, timer, lost)
	base, _ := d.n.replica.base()
	var todo consensus.Action
	for a := d.proposer.Start(base, reading); ; {
		var most time.Duration
		switch todo = a; a.Kind {
		case consensus.Done:
			return nil
		case consensus.Compose:
			a, calls = d.compose(a, calls)
			continue
		case consensus.Apply:
			a = d.apply(a)
			continue
		case consensus.Fetch:
			most = d.fetch(a)
		case consensus.Prepare, consensus.Read, consensus.Accept:
			most = d.ask(a)
		case consensus.Backoff:
			most = time.Duration(a.Delay * float64(time.Second))
		}
		timer.Reset(most)
		for a = (consensus.Action{}); a.Kind == consensus.None; {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case e := <-d.events:
				a = e(d.proposer)
				continue
			case <-timer.C:
			}
			if !time.Now().Before(until) {
				return errNoMajority // whoever waited has been answered
			}
			if todo.Kind != consensus.Backoff {
				a = d.proposer.Timeout(todo.Attempt)
				continue
			}
			lost++
			d.yield(ctx, timer, lost)
			if !reading {
				// A new round begins, so whatever came meanwhile is judged upon a snapshot that is newer than it.
				calls = append(calls, d.take(maxBatchCalls-len(calls))...)
				if calls = slices.DeleteFunc(calls, (*pendingChange).isAbandoned); len(calls) > 0 {
					until = latestDeadline(calls)
				}
			}
			base, _ := d.n.replica.base()
			a = d.proposer.Resumed(todo.Attempt, base)
		}
	}
}

// yield waits a little while another node is on its way: two that outbid one another all the time both come to nothing. Who has lost
// rounds waits less than who begins.
func (d *proposalQueue) yield(ctx context.Context, timer *time.Timer, lost int) {
	defer func() {
		promised, _ := d.n.replica.state()
		d.proposer.ObserveBallot(promised)
	}()
	guest := d.n.replica.foreignRoundDone()
	if guest == nil {
		return
	}
	most := courtesyWait/2 + time.Duration(d.random.Int64N(int64(courtesyWait)))
	if lost == 0 {
		most *= courtesyFactor
	} else {
		most /= time.Duration(min(lost, 4))
	}
	timer.Reset(most)
	select {
	case <-guest:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func latestDeadline(calls []*pendingChange) (at time.Time) {
	for _, c := range calls {
		if c.deadline.After(at) {
			at = c.deadline
		}
	}
	return at
}

// compose says what to propose, and answers the calls about which all is said. It returns those that are left.
func (d *proposalQueue) compose(a consensus.Action, calls []*pendingChange) (consensus.Action, []*pendingChange) {
	base, book := d.n.replica.base()
	epoch := base.Epoch
	calls = slices.DeleteFunc(calls, (*pendingChange).isAbandoned)
	if k := slices.IndexFunc(calls, func(c *pendingChange) bool { return c.electorateChange != nil }); k >= 0 {
		return d.composeElectorateChange(a, calls, calls[k], base)
	}
	all := make([][]configuration.Item, len(calls))
	for n, c := range calls {
		all[n] = slices.Clone(c.items)
		for i := range all[n] {
			all[n][i].Epoch = epoch + 1
		}
	}
	check := func(b *configuration.Snapshot, items []configuration.Item) ([]configuration.Item, *configuration.Snapshot, error) {
		return b.Validate(items)
	}
	items, verdicts := consensus.ComposeProposal(book, all, maxBatchBytes, check)
	if !a.Confirmed && !mutant.Active("refuses-unsure") && slices.ContainsFunc(verdicts, func(v consensus.Verdict) bool { return v.Err != nil }) {
		return d.proposer.RequireConfirmation(a.Attempt), calls
	}
	var left []*pendingChange
	d.included = nil
	for n, v := range verdicts {
		switch c := calls[n]; {
		case v.Err != nil:
			c.answer(v.Err)
		case v.AlreadyApplied:
			c.answer(nil)
		default:
			if left = append(left, c); mutant.Active("answers-before") || mutant.Active("answers-left") && !v.Included {
				c.answer(nil)
			}
			if v.Included {
				d.included = append(d.included, c)
			}
		}
	}
	next := d.proposer.Composed(a.Attempt, base, items, nil)
	d.proposed, d.proposedUpon = next.Proposal.Ballot, epoch
	return next, left
}

// composeElectorateChange proposes a change of the electorate by itself; what waits beside it comes after.
func (d *proposalQueue) composeElectorateChange(a consensus.Action, calls []*pendingChange, c *pendingChange, base consensus.Base) (consensus.Action, []*pendingChange) {
	if !a.Confirmed {
		return d.proposer.RequireConfirmation(a.Attempt), calls
	}
	voters, err := c.electorateChange.judge(base)
	if voters == nil {
		c.answer(err)
		c.abandoned.Store(true)
		return d.compose(a, calls)
	}
	d.included = nil
	return d.proposer.Composed(a.Attempt, base, nil, voters), calls
}

// apply takes in what was chosen, answers whom it is about, and tells the others.
func (d *proposalQueue) apply(a consensus.Action) consensus.Action {
	p := a.Proposal
	base := d.n.replica.choose(p)
	d.n.eachPeer(func(x *peer) {
		go x.client.Call(roundTimeout, &transport.Frame{Chosen: &transport.Chosen{Proposal: consensus.Proposal{Ballot: p.Ballot, Epoch: p.Epoch}}})
	})
	if p.Ballot == d.proposed && p.Epoch == d.proposedUpon+1 || mutant.Active("answers-others") {
		for _, c := range d.included {
			c.answer(nil)
			c.abandoned.Store(true)
		}
	}
	d.included = nil
	d.chosen.Add(1)
	d.n.log.Log("msg", "change chosen", "epoch", p.Epoch, "items", len(p.Items), "voters", len(p.Voters))
	return d.proposer.Applied(a.Attempt, base)
}

// ask puts an action to the voters. It returns how long to wait for them.
func (d *proposalQueue) ask(a consensus.Action) time.Duration {
	most := roundTimeout
	if a.Kind == consensus.Accept {
		most += transferAllowance(a.Proposal.Items)
	}
	of := d.proposer
	for _, to := range a.To {
		go func() {
			var event func(*consensus.Proposer) consensus.Action
			p, r := d.reach(to, a, most)
			switch {
			case p != nil:
				event = func(x *consensus.Proposer) consensus.Action { return x.Promised(a.Attempt, to, *p) }
			case r != nil:
				event = func(x *consensus.Proposer) consensus.Action { return x.Accepted(a.Attempt, to, *r) }
			default:
				event = func(x *consensus.Proposer) consensus.Action { return x.Lost(a.Attempt, to) }
			}
			d.post(of, event)
		}()
	}
	return most
}

// reach puts an action to one voter, which may be this node.
func (d *proposalQueue) reach(to string, a consensus.Action, most time.Duration) (*consensus.Promise, *consensus.Accepted) {
	q := &transport.Prepare{Ballot: a.Ballot, ReadOnly: a.Kind == consensus.Read}
	if to == d.n.self {
		if a.Kind == consensus.Accept {
			return nil, d.n.replica.accept(a.Proposal, nil)
		}
		return d.n.replica.prepare(q), nil
	}
	f := &transport.Frame{Prepare: q}
	if a.Kind == consensus.Accept {
		f = &transport.Frame{Accept: &transport.Accept{Proposal: a.Proposal}}
	}
	switch r := d.n.callPeer(to, most, f); {
	case r == nil:
	case r.Promise != nil && a.Kind != consensus.Accept:
		return &r.Promise.Promise, nil
	case r.Accepted != nil && a.Kind == consensus.Accept:
		return nil, &r.Accepted.Accepted
	}
	return nil, nil
}

func (d *proposalQueue) fetch(a consensus.Action) time.Duration {
	of := d.proposer
	go func() {
		d.n.fetch(a.Source, a.Epoch)
		base, _ := d.n.replica.base()
		d.post(of, func(x *consensus.Proposer) consensus.Action { return x.Fetched(a.Attempt, base) })
	}()
	return 2 * roundTimeout
}

// post brings an answer to the proposer that asked: another one, for other voters, numbers its tries anew.
func (d *proposalQueue) post(of *consensus.Proposer, e func(*consensus.Proposer) consensus.Action) {
	only := func(p *consensus.Proposer) consensus.Action {
		if p != of {
			return consensus.Action{}
		}
		return e(p)
	}
	select {
	case d.events <- only:
	case <-d.n.ended:
	}
}

// transferAllowance is how much longer items take on their way, by their length.
func transferAllowance(items []configuration.Item) time.Duration {
	bytes := 0
	for _, i := range items {
		bytes += i.Size()
	}
	return timeoutPerMegabyte * time.Duration(bytes>>10) >> 10
}
