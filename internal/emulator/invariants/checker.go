package invariants

import (
	"cmp"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
)

// Check names every rule that the play broke, in the order of the times.
func Check(l *Log) []Violation {
	j := &checker{Log: l, tries: map[string]*Attempt{}, arrivals: map[string][]*Arrival{}, items: map[string][]*Version{}}
	for i := range l.Attempts {
		j.tries[l.Attempts[i].ID] = &l.Attempts[i]
	}
	for i := range l.Arrivals {
		a := &l.Arrivals[i]
		j.arrivals[a.ID] = append(j.arrivals[a.ID], a)
	}
	for i := range l.Versions {
		v := &l.Versions[i]
		j.items[v.Item] = append(j.items[v.Item], v)
	}
	j.requests()
	j.handlings()
	j.drains()
	j.lost()
	j.kept()
	j.budget()
	j.quota()
	j.denied()
	j.contact()
	for _, o := range l.Exits {
		j.add("FAULT", o.At, "%s ended by itself: %s", o.Process, o.Text)
	}
	slices.SortStableFunc(j.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return j.violations
}

// contactFor is how long a core machine may go by an answer of the others (design/worst-days.md, part 1), with half a
// second for the box.
const contactFor = 2.0

// contact judges CONTACT, a rule of our own: a core machine without a majority says nothing as if it were current,
// neither yes nor no.
func (j *checker) contact() {
	for _, s := range j.ControlAnswers {
		definite := s.Status/100 == 2 || s.Status/100 == 4 && s.Status != 408 && s.Status != 429
		for _, c := range j.Partitions {
			if definite && s.Machine == c.Machine && s.Began > c.From+contactFor && s.Done < c.To {
				j.add("CONTACT", s.Done, "%s, cut off for %.1f s, answered %d: %s", s.Machine, s.Done-c.From, s.Status, s.Call)
			}
		}
	}
}

type checker struct {
	*Log
	tries      map[string]*Attempt
	arrivals   map[string][]*Arrival
	items      map[string][]*Version
	violations []Violation
}

func (j *checker) add(rule string, at Seconds, format string, args ...any) {
	j.violations = append(j.violations, Violation{rule, at, fmt.Sprintf(format, args...)})
}

func (a *Arrival) ran() bool { return a.Started < Never }

// requests judges TWICE, REFUSED, MIXED and UNASKED, each request by itself.
func (j *checker) requests() {
	for i := range j.Arrivals {
		a := &j.Arrivals[i]
		t := j.tries[a.ID]
		switch {
		case !a.ran():
		case t == nil:
			j.add("UNASKED", a.Started, "%s ran %q, which no client sent", a.Instance, a.ID)
		case a.Method != t.Method || a.Host != t.Host || a.Target != t.Target || a.Body != t.Body:
			j.add(
				"UNASKED",
				a.Started,
				"%s ran %s %s%s (body %x) for %s, sent as %s %s%s (body %x)",
				a.Instance,
				a.Method,
				a.Host,
				a.Target,
				a.Body,
				a.ID,
				t.Method,
				t.Host,
				t.Target,
				t.Body,
			)
		case !j.tenantFits(t, a.Tenant):
			j.add("UNASKED", a.Started, "%s ran %s with X-Tenant %q, which does not hold its key", a.Instance, a.ID, a.Tenant)
		}
		if a.Status == 421 && a.ran() {
			panic("rules: a server ran what it turned away")
		}
	}
	for i := range j.Attempts {
		t := &j.Attempts[i]
		ran := 0
		for _, a := range j.arrivals[t.ID] {
			if a.ran() {
				ran++
			}
		}
		if t.AtMostOnce && ran > 1 {
			j.add("TWICE", t.Sent, "%s ran %d times", t, ran)
		}
		if t.AtMostOnce && ran > 0 && t.End == Answered && promisesNotExecuted(t.Status) {
			j.add("REFUSED", t.Done, "%s ended with %d, and it has run", t, t.Status)
		}
		j.mixed(t)
	}
}

func promisesNotExecuted(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

func (t *Attempt) String() string {
	return fmt.Sprintf("%s %s (%s at %s)", t.Class, t.ID, t.Target, t.Edge)
}

func (j *checker) mixed(t *Attempt) {
	broke := slices.ContainsFunc(j.arrivals[t.ID], func(a *Arrival) bool { return a.Aborted })
	if t.Surplus {
		j.add("MIXED", t.Done, "%s: bytes came with no request waiting", t)
	}
	if t.End == Malformed && !broke {
		j.add("MIXED", t.Done, "%s: bytes that are no answer", t)
	}
	if t.End != Answered {
		return
	}
	if t.AnswerID != "" && t.AnswerID != t.ID {
		j.add("MIXED", t.Done, "%s got the answer to %s", t, t.AnswerID)
	}
	if t.Seal != "" &&
		!slices.ContainsFunc(j.arrivals[t.ID], func(a *Arrival) bool { return a.ran() && a.Seal == t.Seal }) {
		j.add("MIXED", t.Done, "%s got a seal of another request, %q", t, t.Seal)
	} else if t.Status/100 == 2 &&
		!slices.ContainsFunc(j.arrivals[t.ID], func(a *Arrival) bool {
			return a.ran() && a.Seal == t.Seal && a.Sum == t.Sum && a.Status == t.Status
		}) {
		j.add("MIXED", t.Done, "%s got a %d that no server gave (seal %q, body %x)", t, t.Status, t.Seal, t.Sum)
	}
}

// tenantFits tells whether a server may be told this tenant.
func (j *checker) tenantFits(t *Attempt, tenant string) bool {
	if t.Key == "" {
		return tenant == ""
	}
	known := false
	for _, vs := range j.items {
		for _, v := range vs {
			if v.Tenant != nil && slices.Contains(v.Tenant.Keys, t.Key) {
				known = true
				if v.Tenant.Name == tenant {
					return true
				}
			}
		}
	}
	return !known && tenant == "" // on a public route; elsewhere ROUTE says it
}

// inContact tells whether a machine that takes clients was in touch for a whole span; stretched, whether it was but
// for the core, and the core kept more than half.
func (j *checker) inContact(machine string, from, to Seconds) (in, stretched bool) {
	in, stretched = true, true
	for _, t := range j.Faults {
		if t.From > to || t.To+j.Bounds.Contact < from {
			continue
		}
		switch {
		case t.Core && t.Majority, !t.Core && t.Machine == machine:
			return false, false
		case t.Core:
			in = false
		}
	}
	return in, stretched
}

// processStart is when the machine's last process began, at a time.
func (j *checker) processStart(machine string, at Seconds) Seconds {
	last := math.Inf(-1)
	for _, l := range j.ProcessStarts {
		if l.Machine == machine && l.At <= at {
			last = max(last, l.At)
		}
	}
	return last
}

func (j *checker) drains() {
	for i := range j.Arrivals {
		a := &j.Arrivals[i]
		t := j.tries[a.ID]
		if t == nil || a.Status == 421 {
			continue
		}
		for _, l := range j.Departures {
			if l.Instance != a.Instance || a.At <= l.At+j.Bounds.Drain {
				continue
			}
			by, _ := j.inContact(l.By, l.At, l.At)
			in, _ := j.inContact(t.Edge, min(t.Sent, l.At), a.At)
			if by && in {
				j.add("DRAIN", a.At, "%s reached %s %.2f s after its leave was acknowledged by %s", t, a.Instance, a.At-l.At, l.By)
				break
			}
		}
	}
}

// lost judges LOST where work was planned: a request that a process took and let go of after a SIGTERM.
func (j *checker) lost() {
	b := j.Bounds
	for i := range j.Attempts {
		t := &j.Attempts[i]
		for _, o := range j.Terminations {
			if o.Machine != t.Edge || t.Done < o.At || t.Done > o.At+b.Grace+1 {
				continue
			}
			for _, a := range j.arrivals[t.ID] {
				if t.End == Answered && t.Status >= 500 && t.Seal == "" && a.ran() && a.Started < t.Done && a.End > t.Done &&
					!j.faulted(t) &&
					t.Done < t.Sent+t.TimeLeft {
					j.add("LOST", t.Done, "%s: ended with a %d of its own while %s was at work on it", t, t.Status, a.Instance)
				}
			}
			if t.End != Truncated || t.Done >= t.Sent+t.TimeLeft-0.005 || j.faulted(t) {
				continue
			}
			passed, excused := false, false
			for _, a := range j.arrivals[t.ID] {
				passed = passed || a.At <= t.Done
				excused = excused || a.Aborted || a.End > o.At+b.Grace/2
			}
			if (passed || t.Done > t.Sent+b.LossSlack) && !excused {
				j.add("LOST", t.Done, "%s: its connection ended without an answer %.2f s after SIGTERM", t, t.Done-o.At)
			}
		}
	}
}

// faulted tells whether there was unplanned trouble of the system's from some time before a try until its end.
func (j *checker) faulted(t *Attempt) bool {
	return slices.ContainsFunc(j.Faults, func(x Fault) bool {
		return !x.Planned && x.From <= t.Done && x.To >= t.Sent-j.Bounds.Contact
	})
}

// kept judges what was read back at the end, and what was acknowledged though it was invalid.
func (j *checker) kept() {
	for _, v := range j.Versions {
		if !v.Valid && v.Acked < Never {
			j.add("CONFIG", v.Acked, "%s %08x was acknowledged, and its call is invalid", v.Item, v.Number)
		}
	}
	if len(j.ConfigReads) == 0 {
		j.add("CONFIG", Never, "nothing was read back at the end")
	}
	for _, r := range j.ConfigReads {
		for item, vs := range j.items {
			var acked *Version
			for _, v := range vs {
				if v.Valid && v.Acked < r.At && (acked == nil || v.Number > acked.Number) {
					acked = v
				}
			}
			body, there := r.Items[item]
			fits := slices.ContainsFunc(vs, func(v *Version) bool {
				return v.Valid && !v.Refused && (acked == nil || v.Number >= acked.Number) && v.Dropped != there &&
					(v.Dropped || reflect.DeepEqual(v.Body, body))
			})
			switch {
			case fits, acked == nil && !there:
			case acked != nil && acked.Acked < j.Closing && j.Closing < Never:
				j.add(
					"LOST",
					r.At,
					"%s reads %s as %s after the closing fault, acknowledged last was %s",
					r.Machine,
					item,
					brief(body, there),
					acked,
				)
			default:
				j.add(
					"CONFIG",
					r.At,
					"%s reads %s back as %s, acknowledged last was %v",
					r.Machine,
					item,
					brief(body, there),
					acked,
				)
			}
		}
		for item, body := range r.Items {
			if j.items[item] == nil {
				j.add("CONFIG", r.At, "%s reads back %s, which nobody sent: %s", r.Machine, item, brief(body, true))
			}
		}
	}
}

func brief(body any, there bool) string {
	if !there {
		return "absent"
	}
	return fmt.Sprintf("%.200v", body)
}

func (v *Version) String() string {
	if v == nil {
		return "nothing"
	}
	if v.Dropped {
		return fmt.Sprintf("%08x, dropped", v.Number)
	}
	return fmt.Sprintf("%08x, %.200v", v.Number, v.Body)
}

// budget judges BUDGET: each window that ends with a further arrival.
func (j *checker) budget() {
	type extra struct {
		at      Seconds
		service string
	}
	var extras []extra
	for id, as := range j.arrivals {
		if j.tries[id] == nil {
			continue
		}
		slices.SortFunc(as, func(a, b *Arrival) int { return cmp.Compare(a.At, b.At) })
		for _, a := range as[1:] {
			extras = append(extras, extra{a.At, a.Service})
		}
	}
	asked := map[string][]Seconds{} // of each service: when requests for it were sent
	for i := range j.Attempts {
		t := &j.Attempts[i]
		for s := range j.mayGo(t) {
			asked[s] = append(asked[s], t.Sent)
		}
	}
	w := j.Bounds.RetryWindow
	reported := map[string]bool{}
	slices.SortFunc(extras, func(a, b extra) int { return cmp.Compare(a.at, b.at) })
	for _, last := range extras {
		n := 0
		for _, e := range extras {
			if e.service == last.service && e.at > last.at-w && e.at <= last.at {
				n++
			}
		}
		requests := 0
		for _, back := range []Seconds{0, w / 2, w} {
			in := 0
			for _, s := range asked[last.service] {
				if s > last.at-w-back && s <= last.at-back {
					in++
				}
			}
			requests = max(requests, in)
		}
		if most := j.Bounds.RetryRatio*float64(requests) + j.Bounds.RetrySlack; float64(n) > most && !reported[last.service] {
			reported[last.service] = true
			j.add(
				"BUDGET",
				last.at,
				"%s got %d further arrivals in %g s with %d requests: at most %.0f",
				last.service,
				n,
				w,
				requests,
				most,
			)
		}
	}
}

// mayGo is every service that a request may have been for.
func (j *checker) mayGo(t *Attempt) map[string]bool {
	out := map[string]bool{}
	for _, vs := range j.items {
		for _, v := range vs {
			if r := v.Route; r != nil && r.Host == t.Host && strings.HasPrefix(t.Target, r.Prefix) && v.Sent <= t.Done {
				for _, s := range r.Services {
					out[s] = true
				}
			}
		}
	}
	return out
}

// quota judges QUOTA: each window that begins with a request that ran.
func (j *checker) quota() {
	type run struct {
		sent, at Seconds
		edge     string
	}
	runs := map[string][]run{}
	for i := range j.Arrivals {
		a := &j.Arrivals[i]
		t := j.tries[a.ID]
		if t == nil || !a.ran() {
			continue
		}
		for _, name := range j.holders(t.Key) {
			runs[name] = append(runs[name], run{t.Sent, a.At, t.Edge})
		}
	}
	w := j.Bounds.QuotaWindow
	for name, rs := range runs {
		slices.SortFunc(rs, func(a, b run) int { return cmp.Compare(a.sent, b.sent) })
		for i, first := range rs {
			n, by := 0, map[string][]int{} // of each machine, by the second
			for _, r := range rs[i:] {
				if r.sent > first.sent+w {
					break
				}
				if r.at <= first.sent+w {
					n++
					if by[r.edge] == nil {
						by[r.edge] = make([]int, int(w)+1)
					}
					by[r.edge][int(r.sent-first.sent)]++
				}
			}
			if most := j.granted(name, first.sent, w); float64(n) > most {
				j.add("QUOTA", first.sent, "%s: %d requests ran in %g s: at most %.0f; by the second %v", name, n, w, most, by)
				break
			}
		}
	}
}

// holders is the tenants that ever held a key.
func (j *checker) holders(key string) (names []string) {
	for _, v := range j.Versions {
		if key != "" && v.Tenant != nil && slices.Contains(v.Tenant.Keys, key) && !slices.Contains(names, v.Tenant.Name) {
			names = append(names, v.Tenant.Name)
		}
	}
	return names
}

// granted is how many requests of a tenant may run in a window, by the most generous version that may be in force in
// it.
func (j *checker) granted(tenant string, from, w Seconds) float64 {
	most := 0.0
	vs := j.items["customers/"+tenant]
	for _, v := range vs {
		if v.Tenant == nil || v.Sent > from+w || !v.Valid {
			continue
		}
		over := slices.ContainsFunc(vs, func(o *Version) bool {
			return o.Number > v.Number && o.Acked+j.Bounds.ConfigApply+w <= from &&
				!slices.ContainsFunc(j.Edges, func(edge string) bool {
					in, _ := j.inContact(edge, o.Acked, o.Acked+j.Bounds.ConfigApply)
					return !in
				})
		})
		if over {
			continue
		}
		if v.Tenant.Rate == 0 {
			return math.Inf(1)
		}
		most = max(most, (v.Tenant.Rate*w+v.Tenant.Burst)*(1+j.Bounds.QuotaExcess)+j.Bounds.QuotaSlack)
	}
	return most
}

// denied judges DENIED: 3xx and 4xx of the system's own for proper requests, by machines in touch.
func (j *checker) denied() {
	n, all, first := 0, 0, ""
	for i := range j.Attempts {
		t := &j.Attempts[i]
		if t.Probe {
			continue
		}
		all++
		if t.End != Answered || t.Seal != "" || t.Status/100 != 3 && t.Status/100 != 4 || promisesNotExecuted(t.Status) {
			continue
		}
		if in, _ := j.inContact(t.Edge, t.Sent, t.Done); !in || !j.proper(t) {
			continue
		}
		if n++; first == "" {
			first = fmt.Sprintf("%s got %d at %.2f s", t, t.Status, t.Done)
		}
	}
	if n > 5+all/500 {
		j.add("DENIED", Never, "%d of %d requests that were proper, the first of them: %s", n, all, first)
	}
}
