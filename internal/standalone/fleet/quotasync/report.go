package quotasync

import "mulleinrouter/internal/standalone/fleet/quotashare"

// Report is the state of the shared quotas, as operators see it in JSON.
type Report struct {
	CounterTrusted bool `json:"sound"`
	// Reason is why the counter is not trusted. It is empty if the counter is trusted or there is none.
	Reason        string              `json:"why,omitempty"`
	Rejected      int                 `json:"refused"` // number of messages that changed nothing
	Lent          float64             `json:"given"`   // units a second lent to others
	Borrowed      float64             `json:"taken"`   // units a second borrowed from others
	WarnedServers []string            `json:"warned,omitempty"`
	Customers     []quotashare.Status `json:"members,omitempty"`
}

// Report returns the state with the details of one customer, or of all customers if customer is empty.
func (s *Service) Report(customer string) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Report{Rejected: s.allocator.Rejected(), WarnedServers: s.allocator.WarnedServers()}
	r.CounterTrusted, r.Reason = s.allocator.CounterTrusted()
	for _, c := range s.allocator.Customers() {
		for _, loan := range c.LentTo {
			r.Lent += loan.Rate
		}
		for _, loan := range c.BorrowedFrom {
			r.Borrowed += loan.Rate
		}
		if customer == "" || c.Customer == customer {
			r.Customers = append(r.Customers, c)
		}
	}
	return r
}
