package settings

import (
	"strings"
	"testing"
)

func TestDecodeChecksNumbersOfIngresses(t *testing.T) {
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
			t.Errorf("Decode(%s) = %v, want an error with %q", tc.raw, err, tc.err)
		}
	}
}

// Settings that arrive with a SIGHUP are applied as a whole or not at all, so Check rejects an incomplete or invalid
// object and names the key.
func TestCheck(t *testing.T) {
	const (
		class       = `{"Name":"a","Promise":1,"Deadline":3,"Gain":1,"Effect":"pure"}`
		permissions = `{"SendCap":4,"RetryAfter":true}`
		before      = `{"Balancers":3,"Me":0,"Classes":[` + class + `],
		"Packages":[{"Name":"p","Refill":1}],"Permissions":` + permissions + `}`
	)
	// with returns an object with other classes and permissions.
	with := func(classes, permissions string) string {
		return `{"Balancers":3,"Me":0,"Classes":[` + classes + `],"Packages":[],"Permissions":` + permissions + `}`
	}
	deadline := func(value string) string {
		return with(`{"Name":"a","Promise":1,"Deadline":`+value+`,"Gain":1,"Effect":"pure"}`, permissions)
	}
	sendCap := func(value string) string { return with(class, `{"SendCap":`+value+`,"RetryAfter":true}`) }
	for _, tc := range []struct{ name, raw, err string }{
		{"the same", before, ""},
		{"a class added", with(class+`,{"Name":"b","Promise":2,"Deadline":5,"Gain":2,"Effect":"side_effect"}`,
			`{"SendCap":2,"RetryAfter":true}`), ""},
		{"empty", ``, "not an object"},
		{"cut short", `{"Balancers":3,"Me":0,"Classes":[{"Name":"a"`, "not an object"},
		{"null", `null`, "not an object"},
		{"a section missing", `{"Balancers":3,"Me":0,"Classes":[` + class + `],"Packages":[]}`, "Permissions: missing"},
		{"a key of a section missing", with(class, `{"SendCap":4}`), "Permissions.RetryAfter: missing"},
		{"a key of a class missing", with(`{"Name":"a","Promise":1,"Gain":1,"Effect":"pure"}`, permissions),
			"Classes[0].Deadline: missing"},
		{"no classes", with(``, permissions), "Classes: none"},
		{"deadline zero", deadline(`0`), "Classes[0].Deadline: 0"},
		{"deadline below zero", deadline(`-2`), "Classes[0].Deadline: -2"},
		{"deadline a word", deadline(`"3"`), "Classes[0].Deadline"},
		{"attempts zero", sendCap(`0`), "SendCap: 0"},
		{"attempts below zero", sendCap(`-1`), "SendCap: -1"},
		{"attempts a fraction", sendCap(`1.5`), "SendCap: 1.5"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := Check([]byte(tc.raw), []byte(before))
			if got := err != nil; got != (tc.err != "") || got && !strings.Contains(err.Error(), tc.err) {
				t.Errorf("Check() = %v, want an error with %q", err, tc.err)
			}
		})
	}
}
