package linkfaults

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestParse(t *testing.T) {
	is := is.New(t)
	partition, err := Parse("# nothing\n\nto 127.1.0.1\nfrom 127.1.0.2\nboth 127.1.0.3\n")
	is.NoErr(err)
	is.True(partition.To["127.1.0.1"] && !partition.From["127.1.0.1"])
	is.True(partition.From["127.1.0.2"] && !partition.To["127.1.0.2"])
	is.True(partition.To["127.1.0.3"] && partition.From["127.1.0.3"])
	_, err = Parse("to 127.1.0.1\ncut 127.1.0.2")
	is.True(errors.Is(err, ErrBadLine))
	is.Equal(err.Error(), `line 2: not "to HOST", "from HOST" or "both HOST"`)
}

// TestPartition checks that blocked data is delivered once the partition has healed, separately for each direction, and
// that deadlines and closing the connection work during the partition.
func TestPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		injector := &Injector{}
		set := func(text string) {
			partition, err := Parse(text)
			is.NoErr(err)
			injector.partition.Store(&partition)
		}
		set("")
		var far net.Conn
		dial := injector.Dialer(func(context.Context, string) (net.Conn, error) {
			near, other := net.Pipe()
			far = other
			return near, nil
		})
		c, err := dial(t.Context(), "h:1")
		is.NoErr(err)
		elapsed := func(do func()) time.Duration {
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
		is.True(elapsed(func() { c.Write([]byte("x")) }) >= time.Second)
		<-got
		set("from h")
		go far.Write([]byte("y"))
		c.SetReadDeadline(time.Now().Add(time.Second))
		is.True(elapsed(func() { _, err = c.Read(make([]byte, 9)) }) >= time.Second)
		is.True(err != nil) // its deadline has passed, and the connection has ended
		_, err = far.Write([]byte("z"))
		is.True(err != nil)

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(elapsed(func() { _, err = dial(ctx, "h:1") }) >= time.Second)
		is.True(err != nil) // no connection is established across a partition
		_, err = dial(t.Context(), "other:1")
		is.NoErr(err)
		is.NoErr(c.Close())
	})
}
