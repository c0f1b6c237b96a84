package quotashare

// Message is a message from one ingress to another. It is complete: a customer that is missing in it has no loan from
// the sender.
type Message struct {
	Incarnation      [2]uint64        `cbor:"1,keyasint"`
	Seq              uint64           `cbor:"2,keyasint"`           // number of the sender's message to the receiver
	AckSeq           uint64           `cbor:"3,keyasint,omitempty"` // Seq of the receiver's latest message received
	AckIncarnation   [2]uint64        `cbor:"9,keyasint,omitempty"` // the receiver's incarnation that sent that message
	CounterTrusted   bool             `cbor:"4,keyasint,omitempty"` // whether the sender trusts the counter
	Customers        []CustomerReport `cbor:"5,keyasint,omitempty"`
	Zone             string           `cbor:"6,keyasint,omitempty"`
	UnhealthyServers []string         `cbor:"7,keyasint,omitempty"` // as observed by the sender itself
	ServerCount      int              `cbor:"8,keyasint,omitempty"` // length of the sender's endpoint list
}

// CustomerReport is the report of one gateway of a customer to another gateway.
type CustomerReport struct {
	Customer   string         `cbor:"1,keyasint"`
	Rate       float64        `cbor:"2,keyasint,omitempty"` // units a second requested at the sender
	Lent       float64        `cbor:"3,keyasint,omitempty"` // units a second that the sender lends to the receiver
	Totals     []CounterTotal `cbor:"4,keyasint,omitempty"`
	UsesGrants bool           `cbor:"5,keyasint,omitempty"` // the sender uses grants, not the counter
}

// CounterTotal is the amount that a gateway has added to one of the counter's names and the counter has acknowledged.
type CounterTotal struct {
	Name  string  `cbor:"1,keyasint"`
	Total float64 `cbor:"2,keyasint"`
}
