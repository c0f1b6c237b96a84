package usage

import (
	"fmt"
	"math"

	"mulleinrouter/internal/decision"
)

// Arrival states whether a request arrived at a backend. For several attempts, it is the largest value of any attempt.
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

// ArrivalOf returns the arrival that the outcome of an attempt proves (PROTOCOL, "Ingresses to quote servers").
// answered is true if the request was written completely and a complete answer, or the head of a streamed one,
// followed. A server that rejects a request has received it, too: units are charged when the first attempt has arrived,
// not when it has been executed.
func ArrivalOf(outcome decision.Outcome, answered bool) Arrival {
	switch {
	case answered || outcome == decision.Succeeded || outcome == decision.Rejected:
		return Arrived
	case outcome == decision.ConnectionRefused || outcome == decision.NotSent:
		return NotArrived
	}
	return ArrivalUnknown // written completely, and then lost, timed out or cancelled
}

// MicroPerUnit is the number of micro-units in a unit. Units are added up as integers, because the sum of integers does
// not depend on their order.
const MicroPerUnit = 1_000_000

// ToMicroUnits rounds units to micro-units.
func ToMicroUnits(units float64) int64 { return int64(math.Round(units * MicroPerUnit)) }

// Request is the billing data of a client's request that was forwarded. All attempts of the request count as one.
// standalone/usageexport stores its JSON.
type Request struct {
	Tenant    string `json:"Tenant"`
	Member    string `json:"Member"`
	Plan      string `json:"Plan"`
	Class     string `json:"Class"`
	Revision  uint64 `json:"Revision"` // of the catalogue that named the plan; 0: the settings
	Units     int64  `json:"Units"`    // micro-units
	OverQuota bool   `json:"Beyond"`   // the request was forwarded although it exceeded its quota
	Minute    int64  `json:"Minute"`   // Unix time in minutes at which the first attempt was sent
}
