package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"github.com/ledgepin/ledgepin/strict"
)

// MaxBytes is the largest size of the text of a tree.
const MaxBytes = 8 << 20

// Parse reads and checks a tree. The error lists each problem with file, line and path.
func Parse(file string, data []byte) (*Tree, error) {
	if len(data) > MaxBytes {
		return nil, strict.Problems{{File: file, Path: ".", Want: fmt.Sprintf("at most %d bytes", MaxBytes)}}
	}
	t := &Tree{}
	if err := strict.Decode(file, data, t); err != nil {
		return nil, err
	}
	c := checker{file: file, tree: t, groupOf: map[string]string{}}
	c.run()
	return t, c.problems.Err()
}

// checker looks for references to names that don't exist and for addresses that are not IP numbers
// with a port. These checks span levels of the tree, so their problems have no single line.
type checker struct {
	file     string
	tree     *Tree
	problems strict.Problems
	// groupOf maps each server of a claim group to the service of the group.
	groupOf map[string]string
}

func (c *checker) report(path, format string, args ...any) {
	c.problems = append(c.problems, strict.Problem{File: c.file, Path: path, Want: fmt.Sprintf(format, args...)})
}

func (c *checker) run() {
	for _, name := range sorted(c.tree.Fleet.Classes) {
		c.checkClass(name)
	}
	for _, name := range sorted(c.tree.Fleet.Customers) {
		c.checkCustomer(name)
	}
	for _, name := range sorted(c.tree.Fleet.Services) {
		c.checkService(name)
	}
	servers := map[string]string{}
	for _, site := range sorted(c.tree.Fleet.Sites) {
		for _, pool := range sorted(c.tree.Fleet.Sites[site].Pools) {
			c.checkPool(site, pool, servers)
		}
	}
	for _, name := range sorted(c.tree.Fleet.Control) {
		c.checkAddress("fleet.control."+name+".address", c.tree.Fleet.Control[name].Address)
	}
}

func (c *checker) checkClass(name string) {
	class := c.tree.Fleet.Classes[name]
	if !class.Once {
		return
	}
	if _, ok := c.tree.Fleet.Services[class.ClaimGroup]; !ok {
		c.report("fleet.classes."+name+".claim_group", "want the name of a service, because once is set")
	}
}

func (c *checker) checkCustomer(name string) {
	cust := c.tree.Fleet.Customers[name]
	path := "fleet.customers." + name
	if _, ok := c.tree.Fleet.Sites[cust.Home]; cust.Home != "" && !ok {
		c.report(path+".home", "want the name of a site")
	}
	for i, tok := range cust.Tokens {
		if sum, err := hex.DecodeString(tok.SHA256); err != nil || len(sum) != sha256.Size {
			c.report(fmt.Sprintf("%s.tokens[%d].sha256", path, i), "want %d hex digits", 2*sha256.Size)
		}
		if _, ok := c.tree.Fleet.Classes[tok.Class]; !ok {
			c.report(fmt.Sprintf("%s.tokens[%d].class", path, i), "want the name of a class")
		}
	}
}

func (c *checker) checkService(name string) {
	svc := c.tree.Fleet.Services[name]
	path := "fleet.services." + name
	if len(svc.Once) > 0 && len(svc.ClaimGroup) == 0 {
		c.report(path+".claim_group", "want a claim group, because some calls may not be repeated")
	}
	for _, site := range sorted(svc.ClaimGroup) {
		group := svc.ClaimGroup[site]
		at := path + ".claim_group." + site
		if len(group)%2 == 0 {
			c.report(at, "want an odd number of servers")
		}
		for _, server := range group {
			if _, ok := c.tree.Server(server); !ok {
				c.report(at, "want names of servers in the tree, not %q", server)
			}
			if other, ok := c.groupOf[server]; ok {
				c.report(at, "want servers that vote in one group only, and %s votes in %s", server, other)
			}
			c.groupOf[server] = name
		}
	}
}

func (c *checker) checkPool(site, name string, servers map[string]string) {
	pool := c.tree.Fleet.Sites[site].Pools[name]
	path := "fleet.sites." + site + ".pools." + name
	if _, ok := c.tree.Fleet.Services[pool.Service]; pool.Role == RoleService && !ok {
		c.report(path+".service", "want the name of a service")
	}
	for _, model := range sorted(pool.Models) {
		if _, ok := c.tree.Fleet.Models[model]; !ok {
			c.report(path+".models."+model, "want the name of a model of the fleet")
		}
	}
	for _, server := range sorted(pool.Servers) {
		at := path + ".servers." + server
		if before, ok := servers[server]; ok {
			c.report(at, "the server stands already at %s", before)
		}
		servers[server] = at
		c.checkAddress(at+".agent", pool.Servers[server].Agent)
	}
}

func (c *checker) checkAddress(path, addr string) {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		c.report(path, "want an IP number and a port, not %q", addr)
	}
}

func sorted[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }
