package scenario

import "testing"

func TestDayString(t *testing.T) {
	for _, tc := range []struct {
		name string
		day  Day
		want string
	}{
		{
			name: "empty",
			day:  Day{Name: "a", Seed: 1, One: 0.9, Zero: 0.5},
			want: "name = \"a\"\nslot = \"trouble\"\nseed = 1\none = 0.9\nzero = 0.5\nplan = [\n]\nfaults = [\n]\n",
		},
		{
			name: "all parts",
			day: Day{
				Name:    "a",
				Closing: `{ kind = "kill_all" }`,
				Plan:    []Fault{{2, "hup", nil}},
				Faults:  []Fault{{5.123, "core_cut", []string{"count = 1", `how = ""`}}},
			},
			want: "name = \"a\"\nslot = \"trouble\"\nseed = 0\none = 0\nzero = 0\nclosing = { kind = \"kill_all\" }\n" +
				"plan = [\n  { at = 2.00, kind = \"hup\" },\n]\n" +
				"faults = [\n  { at = 5.12, kind = \"core_cut\", count = 1, how = \"\" },\n]\n",
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.day.String(); got != tc.want {
				t.Errorf("got\n%s\nwant\n%s", got, tc.want)
			}
		})
	}
}
