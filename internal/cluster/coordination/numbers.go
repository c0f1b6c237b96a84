package coordination

import (
	"mulleinrouter/internal/cluster/shard"
	"mulleinrouter/internal/mutants"
)

// numbersReserved is how many numbers one batch reserves, so that not each number needs a replicated write. Numbers
// that are not issued by the end of a term are skipped.
const numbersReserved = 1000

// number issues numbers from a reserved range.
type number struct {
	next  uint64
	upper uint64 // last reserved number
	seq   uint64 // number of the batch with the reservation; 0 means that it is of an earlier term
}

// loadNumber starts after all numbers that an earlier term may have issued.
func loadNumber(r *recordReader) *number {
	upper := r.number()
	return &number{next: upper + 1, upper: upper}
}

func (t *Tables) nextNumber(r Request, next uint64) (out Outcome) {
	n := t.numbers[r.Name]
	if n == nil {
		if t.full() {
			return Outcome{Result: Result{Code: TooMany}}
		}
		n = &number{next: 1}
		t.numbers[r.Name] = n
	}
	if n.next > n.upper {
		n.upper, n.seq = n.next-1+numbersReserved, next
		out.Writes = []shard.Write{{Key: recordKey(prefixNumber, r.Name), Value: newRecord().number(n.upper)}}
	}
	out.Result = Result{Code: OK, Number: n.next}
	if out.CommitBefore = n.seq; mutants.On("coordination/number-before-commit") {
		out.CommitBefore = 0
	}
	n.next++
	return out
}
