package rules

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/bambooyard/bambooyard/inventory"
)

// Check returns every error in the rules, joined; each is an
// *inventory.FieldError. The rules refer to services and regions of inv.
func Check(r Rules, inv inventory.Inventory) error {
	c := newChecker(inv)
	c.checkServices(r.Services)
	c.checkMembers(r.Members)
	c.checkLinks(r.Links)
	c.checkObjectives(r.Objectives)
	return errors.Join(c.errs...)
}

// checker collects the errors and the names that later sections refer to.
type checker struct {
	errs              []error
	inventoryServices map[string]bool // services of the inventory
	regionNames       map[string]bool
	ruleServices      map[string]bool // services of the rules
	memberNames       map[string]bool
}

func newChecker(inv inventory.Inventory) *checker {
	c := &checker{
		inventoryServices: map[string]bool{},
		regionNames:       map[string]bool{},
		ruleServices:      map[string]bool{},
		memberNames:       map[string]bool{},
	}
	for _, s := range inv.Services {
		c.inventoryServices[s.Name] = true
	}
	for _, r := range inv.Regions {
		c.regionNames[r.Name] = true
	}
	return c
}

func (c *checker) addError(field, value, reason string) {
	c.errs = append(c.errs, &inventory.FieldError{Field: field, Value: value, Reason: reason})
}

func (c *checker) checkServices(services []Service) {
	for i, s := range services {
		field := fmt.Sprintf("services[%d]", i)
		if !c.inventoryServices[s.Name] {
			c.addError(field+".name", s.Name, "does not exist in the inventory's services")
		}
		if c.ruleServices[s.Name] {
			c.addError(field+".name", s.Name, "is used twice")
		}
		c.ruleServices[s.Name] = true
		if s.DeadlineMS <= 0 {
			c.addError(field+".deadline_ms", strconv.FormatInt(s.DeadlineMS, 10), "must be positive")
		}
		if s.MaxDeadlineMS < s.DeadlineMS {
			c.addError(field+".max_deadline_ms", strconv.FormatInt(s.MaxDeadlineMS, 10), "must be at least deadline_ms")
		}
		if s.MaxBodyBytes < 0 {
			c.addError(field+".max_body_bytes", strconv.FormatInt(s.MaxBodyBytes, 10), "must not be negative")
		}
	}
}

func (c *checker) checkMembers(members []Member) {
	for i, m := range members {
		field := fmt.Sprintf("members[%d]", i)
		if m.Name == "" {
			c.addError(field+".name", m.Name, "must not be empty")
		}
		if c.memberNames[m.Name] {
			c.addError(field+".name", m.Name, "is used twice")
		}
		c.memberNames[m.Name] = true
		if m.Weight <= 0 {
			c.addError(field+".weight", strconv.Itoa(m.Weight), "must be positive")
		}
		if m.QuotaMilliProcessors < 0 {
			c.addError(field+".quota_milli_processors", strconv.FormatInt(m.QuotaMilliProcessors, 10), "must not be negative")
		}
	}
}

func (c *checker) checkLinks(links []Link) {
	for i, l := range links {
		field := fmt.Sprintf("links[%d]", i)
		if len(l.Regions) != 2 {
			c.addError(field+".regions", fmt.Sprint(l.Regions), "must name two regions")
		}
		for j, r := range l.Regions {
			if !c.regionNames[r] {
				c.addError(fmt.Sprintf("%s.regions[%d]", field, j), r, "does not exist in the inventory's regions")
			}
		}
		if l.BitsPerSecond <= 0 {
			c.addError(field+".bits_per_second", strconv.FormatInt(l.BitsPerSecond, 10), "must be positive")
		}
	}
}

func (c *checker) checkObjectives(objectives []Objective) {
	for i, o := range objectives {
		field := fmt.Sprintf("objectives[%d]", i)
		if !c.ruleServices[o.Service] {
			c.addError(field+".service", o.Service, "does not exist in the rules' services")
		}
		if o.Member != "" && !c.memberNames[o.Member] {
			c.addError(field+".member", o.Member, "does not exist in members")
		}
		if o.LatencyMS <= 0 {
			c.addError(field+".latency_ms", strconv.FormatInt(o.LatencyMS, 10), "must be positive")
		}
		if o.Target <= 0 || o.Target >= 1 {
			c.addError(field+".target", strconv.FormatFloat(o.Target, 'g', -1, 64), "must be between 0 and 1")
		}
	}
}
