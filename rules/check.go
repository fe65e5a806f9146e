package rules

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/bambooyard/bambooyard/inventory"
)

// Check returns every mistake in the rules, joined; each is an
// *inventory.FieldError. The inventory is what the rules refer to.
func Check(r Rules, inv inventory.Inventory) error {
	c := newChecker(inv)
	c.services(r.Services)
	c.members(r.Members)
	c.links(r.Links)
	c.objectives(r.Objectives)
	return errors.Join(c.errs...)
}

type checker struct {
	errs      []error
	inventory map[string]bool // services of the inventory
	regions   map[string]bool
	named     map[string]bool // services of the rules
	memberSet map[string]bool
}

func newChecker(inv inventory.Inventory) *checker {
	c := &checker{
		inventory: map[string]bool{},
		regions:   map[string]bool{},
		named:     map[string]bool{},
		memberSet: map[string]bool{},
	}
	for _, s := range inv.Services {
		c.inventory[s.Name] = true
	}
	for _, r := range inv.Regions {
		c.regions[r.Name] = true
	}
	return c
}

func (c *checker) add(field, value, reason string) {
	c.errs = append(c.errs, &inventory.FieldError{Field: field, Value: value, Reason: reason})
}

func (c *checker) services(services []Service) {
	for i, s := range services {
		field := fmt.Sprintf("services[%d]", i)
		if !c.inventory[s.Name] {
			c.add(field+".name", s.Name, "does not exist in the inventory's services")
		}
		if c.named[s.Name] {
			c.add(field+".name", s.Name, "is used twice")
		}
		c.named[s.Name] = true
		if s.DeadlineMS <= 0 {
			c.add(field+".deadline_ms", strconv.FormatInt(s.DeadlineMS, 10), "must be positive")
		}
		if s.MaxDeadlineMS < s.DeadlineMS {
			c.add(field+".max_deadline_ms", strconv.FormatInt(s.MaxDeadlineMS, 10), "must be at least deadline_ms")
		}
		if s.MaxBodyBytes < 0 {
			c.add(field+".max_body_bytes", strconv.FormatInt(s.MaxBodyBytes, 10), "must not be negative")
		}
	}
}

func (c *checker) members(members []Member) {
	for i, m := range members {
		field := fmt.Sprintf("members[%d]", i)
		if m.Name == "" {
			c.add(field+".name", m.Name, "must not be empty")
		}
		if c.memberSet[m.Name] {
			c.add(field+".name", m.Name, "is used twice")
		}
		c.memberSet[m.Name] = true
		if m.Weight <= 0 {
			c.add(field+".weight", strconv.Itoa(m.Weight), "must be positive")
		}
		if m.QuotaMilliProcessors < 0 {
			c.add(field+".quota_milli_processors", strconv.FormatInt(m.QuotaMilliProcessors, 10), "must not be negative")
		}
	}
}

func (c *checker) links(links []Link) {
	for i, l := range links {
		field := fmt.Sprintf("links[%d]", i)
		if len(l.Regions) != 2 {
			c.add(field+".regions", fmt.Sprint(l.Regions), "must name two regions")
		}
		for j, r := range l.Regions {
			if !c.regions[r] {
				c.add(fmt.Sprintf("%s.regions[%d]", field, j), r, "does not exist in the inventory's regions")
			}
		}
		if l.BitsPerSecond <= 0 {
			c.add(field+".bits_per_second", strconv.FormatInt(l.BitsPerSecond, 10), "must be positive")
		}
	}
}

func (c *checker) objectives(objectives []Objective) {
	for i, o := range objectives {
		field := fmt.Sprintf("objectives[%d]", i)
		if !c.named[o.Service] {
			c.add(field+".service", o.Service, "does not exist in the rules' services")
		}
		if o.Member != "" && !c.memberSet[o.Member] {
			c.add(field+".member", o.Member, "does not exist in members")
		}
		if o.LatencyMS <= 0 {
			c.add(field+".latency_ms", strconv.FormatInt(o.LatencyMS, 10), "must be positive")
		}
		if o.Target <= 0 || o.Target >= 1 {
			c.add(field+".target", strconv.FormatFloat(o.Target, 'g', -1, 64), "must be between 0 and 1")
		}
	}
}
