// Package rules describes what must stay quick, what may wait, who may use
// how much, and which objectives the services are held to.
package rules

// Rules is what the operators add on top of the inventory.
type Rules struct {
	Services   []Service   `yaml:"services" json:"services"`
	Members    []Member    `yaml:"members" json:"members"`
	Links      []Link      `yaml:"links,omitempty" json:"links,omitempty"`
	Objectives []Objective `yaml:"objectives,omitempty" json:"objectives,omitempty"`
}

// Service is how requests to one service are handled.
type Service struct {
	Name string `yaml:"name" json:"name"`
	// DeadlineMS is the deadline in milliseconds of a request that names none.
	DeadlineMS int64 `yaml:"deadline_ms" json:"deadline_ms"`
	// MaxDeadlineMS is the longest deadline in milliseconds that a caller may ask for.
	MaxDeadlineMS int64 `yaml:"max_deadline_ms" json:"max_deadline_ms"`
	// AtMostOnce is set when a request with a body must carry an idempotency key.
	AtMostOnce bool `yaml:"at_most_once,omitempty" json:"at_most_once,omitempty"`
	// MaxBodyBytes bounds the request's body.
	MaxBodyBytes int64 `yaml:"max_body_bytes,omitempty" json:"max_body_bytes,omitempty"`
}

// Member is one of the small organisations that share the VMs.
type Member struct {
	Name string `yaml:"name" json:"name"`
	// Weight is the member's share of a service under overload, relative to others.
	Weight int `yaml:"weight" json:"weight"`
	// QuotaMilliProcessors bounds what the member's batch tasks hold at a time,
	// in thousandths of a processor; zero is no bound.
	QuotaMilliProcessors int64 `yaml:"quota_milli_processors,omitempty" json:"quota_milli_processors,omitempty"`
}

// Link is a billed link between two regions.
type Link struct {
	Regions []string `yaml:"regions" json:"regions"`
	// BitsPerSecond is what may cross the link in each direction.
	BitsPerSecond int64 `yaml:"bits_per_second" json:"bits_per_second"`
}

// Objective is what a service promises its members.
type Objective struct {
	Service string `yaml:"service" json:"service"`
	// Member is the member's name, or empty for all members together.
	Member string `yaml:"member,omitempty" json:"member,omitempty"`
	// LatencyMS is the time in milliseconds within which an answer counts as good.
	LatencyMS int64 `yaml:"latency_ms" json:"latency_ms"`
	// Target is the share of good requests that is promised, between 0 and 1.
	Target float64 `yaml:"target" json:"target"`
}

// Service returns the rules of a service.
func (r Rules) Service(name string) (Service, bool) {
	for _, s := range r.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Member returns the rules of a member.
func (r Rules) Member(name string) (Member, bool) {
	for _, m := range r.Members {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}
