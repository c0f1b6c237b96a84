package transport

import (
	"sync"
	"time"
)

// maxBlockingCalls bounds the calls of a connection that are handled at the same time on separate goroutines, because
// they may block (see Run).
const maxBlockingCalls = 32

// Handler handles a frame and returns the answer; nil means no answer.
type Handler = func(*Frame) *Frame

// pendingCalls is the calls of a connection that are not answered yet.
type pendingCalls struct {
	mu      sync.Mutex // guards the fields below
	last    uint64     // number of the last call
	replies map[uint64]chan *Frame
	closed  bool
}

// add numbers a call. The channel is buffered, so that deliver doesn't block.
func (p *pendingCalls) add() (call uint64, reply <-chan *Frame, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return 0, nil, ErrClosed
	}
	p.last++
	ch := make(chan *Frame, 1)
	p.replies[p.last] = ch
	return p.last, ch, nil
}

func (p *pendingCalls) remove(call uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.replies, call)
}

// deliver passes a reply to its call. Replies to calls that have timed out are dropped.
func (p *pendingCalls) deliver(f *Frame) {
	p.mu.Lock()
	reply := p.replies[f.Call]
	delete(p.replies, f.Call)
	p.mu.Unlock()
	if reply != nil {
		reply <- f
	}
}

func (p *pendingCalls) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed, p.replies = true, nil
}

// Call sends a frame as a call and waits for its reply. Run must be running, because it receives the reply. The frame
// is not changed and may be sent to others too. The error is ErrNoReply, ErrClosed, or the error that ended the
// connection. A handler of the same connection must not use Call, unless it handles a call that may block (see Run).
func (c *Conn) Call(timeout time.Duration, f *Frame) (*Frame, error) {
	number, reply, err := c.pending.add()
	if err != nil {
		return nil, err
	}
	defer c.pending.remove(number)
	call := *f
	call.Call = number
	if err := c.Send(&call); err != nil {
		return nil, err
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case f := <-reply:
		return f, nil
	case <-c.done:
		return nil, ErrClosed
	case <-timer.C:
		return nil, ErrNoReply
	}
}

// Run receives frames until the connection ends, and returns the reason. Replies are passed to the calls that wait for
// them. All other frames are passed to handle, and the frame that it returns is sent back with the number of the call.
// Handle is called in the order of the frames and must not block. The exceptions are Ping and the calls that may need a
// disk (Prepare, Accept, Chosen, CatchUpRequest, PersistRequest): each of them runs on a separate goroutine, so they
// may finish in another order. While maxBlockingCalls of them are running, no further frame is received. With a nil
// handle, all frames except replies are ignored.
func (c *Conn) Run(handle Handler) error {
	defer c.Close()
	blocking := make(chan struct{}, maxBlockingCalls)
	for {
		f, err := c.Receive()
		switch {
		case err != nil:
			return err
		case f.IsReply():
			c.pending.deliver(f)
			continue
		case handle == nil:
			continue
		case !f.mayBlock():
			c.reply(f.Call, handle(f))
			continue
		}
		select {
		case blocking <- struct{}{}:
		case <-c.done:
			return ErrClosed
		}
		go func() { // ends with handle, which the caller of Run owns
			defer func() { <-blocking }()
			c.reply(f.Call, handle(f))
		}()
	}
}

// reply sends the reply to a call. An error is ignored. It means that the connection has ended, which Run reports, or
// that the reply is too long to be sent, so that the call gets no answer.
func (c *Conn) reply(call uint64, f *Frame) {
	if f == nil {
		return
	}
	reply := *f
	reply.Call = call
	_ = c.Send(&reply)
}

// IsReply reports whether a frame is the reply to a call: it has a call number and no request. An empty frame with a
// call number is a reply too.
func (f *Frame) IsReply() bool {
	return f.Call != 0 && !f.mayBlock() &&
		f.Hello == nil && f.Update == nil && f.Renewal == nil && f.CounterAdd == nil
}

// mayBlock reports whether a call must be handled on a separate goroutine, because its handler may wait for a disk, or
// because both ends send such calls at the same time. In that case two receiving goroutines that write replies would
// wait for each other if nothing is buffered between them.
func (f *Frame) mayBlock() bool {
	if f.Call == 0 {
		return false
	}
	return f.Ping != nil || f.Prepare != nil || f.Accept != nil || f.Chosen != nil ||
		f.CatchUpRequest != nil || f.PersistRequest != nil
}
