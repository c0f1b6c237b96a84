package linkfaults

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestParse(t *testing.T) {
	is := is.New(t)
	c, err := Parse("# nothing\n\nto 127.1.0.1\nfrom 127.1.0.2\nboth 127.1.0.3\n")
	is.NoErr(err)
	is.True(c.To["127.1.0.1"] && !c.From["127.1.0.1"])
	is.True(c.From["127.1.0.2"] && !c.To["127.1.0.2"])
	is.True(c.To["127.1.0.3"] && c.From["127.1.0.3"])
	_, err = Parse("to 127.1.0.1\ncut 127.1.0.2")
	is.Equal(err.Error(), `line 2: not "to HOST", "from HOST" or "both HOST"`)
}

// What a cut holds comes once the link is whole; each way by itself; deadlines and the connection's end are kept meanwhile.
func TestCutsHoldAndLetGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &Injector{}
		set := func(text string) {
			c, err := Parse(text)
			is.NoErr(err)
			l.cuts.Store(&c)
		}
		set("")
		var far net.Conn
		dial := l.Dialer(func(context.Context, string) (net.Conn, error) {
			near, other := net.Pipe()
			far = other
			return near, nil
		})
		c, err := dial(t.Context(), "h:1")
		is.NoErr(err)
		took := func(do func()) time.Duration {
			began := time.Now()
			do()
			return time.Since(began)
		}
		set("to h")
		go func() {
			time.Sleep(time.Second)
			set("")
		}()
		got := make(chan time.Time, 1)
		go func() {
			far.Read(make([]byte, 9))
			got <- time.Now()
		}()
		is.True(took(func() { c.Write([]byte("x")) }) >= time.Second)
		<-got
		set("from h")
		go far.Write([]byte("y"))
		c.SetReadDeadline(time.Now().Add(time.Second))
		is.True(took(func() { _, err = c.Read(make([]byte, 9)) }) >= time.Second)
		is.True(err != nil) // its time is over, and the connection with it
		_, err = far.Write([]byte("z"))
		is.True(err != nil)

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(took(func() { _, err = dial(ctx, "h:1") }) >= time.Second)
		is.True(err != nil) // no connection comes up across a cut
		_, err = dial(t.Context(), "other:1")
		is.NoErr(err)
		is.NoErr(c.Close())
	})
}
