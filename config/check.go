package config

import (
	"fmt"
	"net"
	"net/netip"

	"github.com/ledgepin/ledgepin/strict"
)

// checker collects the problems of a file that strict.Decode doesn't find.
type checker struct {
	path     string
	file     *File
	problems strict.Problems
}

func (c *checker) report(path, format string, args ...any) {
	c.problems = append(c.problems, strict.Problem{File: c.path, Line: 1, Path: path, Want: fmt.Sprintf(format, args...)})
}

// checkRoles requires a section for each role of the process, and for no other role.
func (c *checker) checkRoles() {
	has := map[string]bool{RoleEntry: c.file.Entry != nil, RoleAgent: c.file.Agent != nil, RoleControl: c.file.Control != nil, RoleGateway: c.file.Gateway != nil}
	named := map[string]bool{}
	for _, r := range c.file.Roles {
		if _, ok := has[r]; !ok {
			c.report("roles", "want entry, agent, control or gateway, not %q", r)
		}
		named[r] = true
	}
	for _, r := range []string{RoleEntry, RoleAgent, RoleControl, RoleGateway} {
		if named[r] != has[r] {
			c.report(r, "want this part if and only if roles names %s", r)
		}
	}
	if named[RoleAgent] && len(named) > 1 {
		c.report("roles", "want agent alone")
	}
	if a := c.file.Agent; a != nil && (a.Engine == "") == (a.Service == "") {
		c.report("agent", "want engine or service, one of them")
	}
	if k := c.file.Control; k != nil && (len(k.Members) == 0) == (k.Discovery == nil) {
		c.report("control", "want members or discovery, one of them")
	}
	if c.file.Control != nil && c.file.Data == "" {
		c.report("data", "want a data folder, because control must keep its log")
	}
}

func (c *checker) checkAddresses() {
	c.checkAddress("operators", c.file.Operators)
	if c.file.Metrics != "" {
		c.checkAddress("metrics", c.file.Metrics)
	}
	if e := c.file.Entry; e != nil {
		c.checkAddress("entry.callers", e.Callers)
		if e.Links != "" {
			c.checkAddress("entry.links", e.Links)
		}
		for i, a := range append(append([]string{}, e.Upstream...), e.Peers...) {
			c.checkAddress(fmt.Sprintf("entry.upstream or peers, number %d", i+1), a)
		}
		if e.Platform != "" {
			c.checkAddress("entry.platform", e.Platform)
		}
	}
	if a := c.file.Agent; a != nil {
		c.checkAddress("agent.links", a.Links)
		if a.Engine+a.Service != "" {
			c.checkAddress("agent.engine or service", a.Engine+a.Service)
		}
	}
	if k := c.file.Control; k != nil {
		c.checkAddress("control.links", k.Links)
		for name, a := range k.Members {
			c.checkAddress("control.members."+name, a)
		}
		if k.API != "" {
			c.checkAddress("control.api", k.API)
		}
		if k.Discovery != nil {
			c.checkSeeds("control.discovery.seeds", k.Discovery.Seeds)
		}
	}
	if g := c.file.Gateway; g != nil {
		c.checkAddress("gateway.callers", g.Callers)
		c.checkAddress("gateway.ready", g.Ready)
		c.checkSeeds("gateway.seeds", g.Seeds)
	}
}

func (c *checker) checkSeeds(path string, list []string) {
	for i, a := range list {
		c.checkAddress(fmt.Sprintf("%s, number %d", path, i+1), a)
	}
}

func (c *checker) checkAddress(path, addr string) {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		c.report(path, "want an IP number and a port, not %q", addr)
	}
}

// checkTokens requires a token for each listener that other VMs can reach.
func (c *checker) checkTokens() {
	if c.file.Tokens.Operators == "" && !isLoopback(c.file.Operators) {
		c.report("operators", "want a loopback address, or a token file in tokens.operators")
	}
	if c.file.Tokens.Peers != "" || c.file.Tokens.TrustedNetwork {
		return
	}
	for _, addr := range c.linkAddresses() {
		if addr != "" && !isLoopback(addr) {
			c.report("tokens.peers", "want a token file, because links listen on %s", addr)
		}
	}
}

func (c *checker) linkAddresses() []string {
	var out []string
	if c.file.Entry != nil {
		out = append(out, c.file.Entry.Links)
	}
	if c.file.Agent != nil {
		out = append(out, c.file.Agent.Links)
	}
	if c.file.Control != nil {
		out = append(out, c.file.Control.Links)
	}
	return out
}

func isLoopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	ip := net.ParseIP(host)
	return err == nil && ip != nil && ip.IsLoopback()
}
