package settings

import (
	"strings"
	"testing"
)

func TestNumbersOfIngresses(t *testing.T) {
	for _, tc := range []struct{ raw, err string }{
		{`{"Balancers":80,"Me":79}`, ""},
		{`{"Balancers":0,"Me":0}`, ""},
		{`{}`, ""},
		{`{"Balancers":80,"Me":80}`, "Me: 80"},
		{`{"Balancers":80,"Me":-1}`, "Me: -1"},
		{`{"Balancers":-3}`, "Balancers: -3"},
		{`{"Balancers":1000000000}`, "Balancers: 1000000000"},
		{`{"Balancers":"many"}`, "Balancers"},
		{``, "no settings"},
	} {
		_, err := Decode([]byte(tc.raw))
		if got := err != nil; got != (tc.err != "") || got && !strings.Contains(err.Error(), tc.err) {
			t.Errorf("%s: %v", tc.raw, err)
		}
	}
}
