package usage

import (
	"fmt"
	"math"

	"mulleinrouter/internal/decision"
)

// Arrival is whether the attempts of a request arrived at a backend: the largest of the attempts'.
type Arrival uint8

// The arrivals. Their numbers are part of the format of records.
const (
	NotArrived Arrival = iota
	ArrivalUnknown
	Arrived
)

var arrivalNames = [...]string{"never", "unknown", "whole"}

func (a Arrival) String() string {
	if int(a) < len(arrivalNames) {
		return arrivalNames[a]
	}
	return fmt.Sprintf("arrival %d", uint8(a))
}

// ArrivalOf returns what the outcome of an attempt proves (PROTOCOL, "Ingresses to quote servers"). Answered: a
// complete answer followed a request that was written completely. A server that rejects a request has received it,
// too: units are charged when the first attempt has arrived, not when it has run.
func ArrivalOf(outcome decision.Outcome, answered bool) Arrival {
	switch {
	case answered || outcome == decision.Succeeded || outcome == decision.Rejected:
		return Arrived
	case outcome == decision.ConnectionRefused || outcome == decision.NotSent:
		return NotArrived
	}
	return ArrivalUnknown // written completely, and then lost, timed out or cancelled
}

// Micro is the number of micro-units in a unit. Sums of integers are the same in any order.
const Micro = 1_000_000

// ToMicro rounds units to micro-units.
func ToMicro(units float64) int64 { return int64(math.Round(units * Micro)) }

// Request is a client's request that was forwarded, as far as billing is concerned. All its attempts are one request.
// Its JSON is stored by standalone/usageexport.
type Request struct {
	Tenant    string `json:"Tenant"`
	Member    string `json:"Member"`
	Plan      string `json:"Plan"`
	Class     string `json:"Class"`
	Revision  uint64 `json:"Revision"` // of the catalogue that named the plan; 0: the settings
	Units     int64  `json:"Units"`    // micro-units
	OverQuota bool   `json:"Beyond"`   // it was forwarded over quota
	Minute    int64  `json:"Minute"`   // Unix time in minutes, when its first attempt was sent
}
