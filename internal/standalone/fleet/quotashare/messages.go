package quotashare

// Message is what one gateway sends to another. It is complete: the sender lends nothing of a customer that
// isn't in it.
type Message struct {
	Incarnation      [2]uint64        `cbor:"1,keyasint"`
	Seq              uint64           `cbor:"2,keyasint"`           // of the sender's messages to the receiver
	AckSeq           uint64           `cbor:"3,keyasint,omitempty"` // the receiver's latest message that was received
	AckIncarnation   [2]uint64        `cbor:"9,keyasint,omitempty"` // the receiver's incarnation that sent it
	CounterTrusted   bool             `cbor:"4,keyasint,omitempty"` // by the sender
	Customers        []CustomerReport `cbor:"5,keyasint,omitempty"`
	Zone             string           `cbor:"6,keyasint,omitempty"`
	UnhealthyServers []string         `cbor:"7,keyasint,omitempty"` // by the sender's own evidence
	ServerCount      int              `cbor:"8,keyasint,omitempty"` // length of its endpoint list
}

// CustomerReport is what one gateway of a customer reports to another.
type CustomerReport struct {
	Customer   string         `cbor:"1,keyasint"`
	Rate       float64        `cbor:"2,keyasint,omitempty"` // units a second requested at the sender
	Lent       float64        `cbor:"3,keyasint,omitempty"` // units a second that the sender lends to the receiver
	Totals     []CounterTotal `cbor:"4,keyasint,omitempty"`
	UsesGrants bool           `cbor:"5,keyasint,omitempty"` // the sender doesn't go by the counter for this customer
}

// CounterTotal is what a gateway has added to one of the counter's names, as far as the counter has acknowledged.
type CounterTotal struct {
	Name  string  `cbor:"1,keyasint"`
	Total float64 `cbor:"2,keyasint"`
}
