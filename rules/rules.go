// Package rules describes the operators' rules: deadlines of latency-critical
// services, weights and quotas of members, capacities of links, and service-level
// objectives.
package rules

// Rules is the configuration that operators add to the inventory.
type Rules struct {
	Services   []Service   `yaml:"services" json:"services"`
	Members    []Member    `yaml:"members" json:"members"`
	Links      []Link      `yaml:"links,omitempty" json:"links,omitempty"`
	Objectives []Objective `yaml:"objectives,omitempty" json:"objectives,omitempty"`
}

// Service holds the request limits of one service.
type Service struct {
	Name string `yaml:"name" json:"name"`
	// DeadlineMS is the deadline in milliseconds of a request that sets none.
	DeadlineMS int64 `yaml:"deadline_ms" json:"deadline_ms"`
	// MaxDeadlineMS is the longest deadline in milliseconds that a caller may set.
	MaxDeadlineMS int64 `yaml:"max_deadline_ms" json:"max_deadline_ms"`
	// AtMostOnce is set when a request with a body must carry an idempotency key.
	AtMostOnce bool `yaml:"at_most_once,omitempty" json:"at_most_once,omitempty"`
	// MaxBodyBytes bounds the size of a request body.
	MaxBodyBytes int64 `yaml:"max_body_bytes,omitempty" json:"max_body_bytes,omitempty"`
}

// Member is a customer organisation that shares the VMs.
type Member struct {
	Name string `yaml:"name" json:"name"`
	// Weight is the member's share of a service under overload, relative to
	// the weights of the other members.
	Weight int `yaml:"weight" json:"weight"`
	// QuotaMilliProcessors bounds the processors that the member's batch tasks
	// use at a time, in thousandths of a processor; zero is unlimited.
	QuotaMilliProcessors int64 `yaml:"quota_milli_processors,omitempty" json:"quota_milli_processors,omitempty"`
}

// Link is a metered network link between two regions.
type Link struct {
	Regions []string `yaml:"regions" json:"regions"`
	// BitsPerSecond is the capacity of the link in each direction.
	BitsPerSecond int64 `yaml:"bits_per_second" json:"bits_per_second"`
}

// Objective is a service-level objective.
type Objective struct {
	Service string `yaml:"service" json:"service"`
	// Member is the member's name, or empty for all members together.
	Member string `yaml:"member,omitempty" json:"member,omitempty"`
	// LatencyMS is the latency in milliseconds up to which a response is good.
	LatencyMS int64 `yaml:"latency_ms" json:"latency_ms"`
	// Target is the required share of good requests, between 0 and 1 exclusive.
	Target float64 `yaml:"target" json:"target"`
}

// Service returns the rules of a service, and whether it is listed.
func (r Rules) Service(name string) (Service, bool) {
	for _, s := range r.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Member returns the rules of a member, and whether it is listed.
func (r Rules) Member(name string) (Member, bool) {
	for _, m := range r.Members {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}
