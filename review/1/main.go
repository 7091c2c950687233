// Command 1 shows that a control replica which lost its disk can come back under its old identity, with
// its vote, and that a configuration that was acknowledged is lost then. See claim.txt.
package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/review/deployment"
)

const (
	// recoverTime is the bound recoveryS of the site, and contactTime its contactMs.
	recoverTime = 12 * time.Second
	contactTime = 3 * time.Second
	// applyTime is configApplyMs: reads count from then on.
	applyTime = 2 * time.Second
	// darkTime is how long the machines that are not cut off stay dark: for_s of a cut of the core.
	darkTime = 5500 * time.Millisecond
	// maxKills bounds how often the replica with the lost disk is killed while it starts.
	maxKills = 60
)

func main() {
	d, err := deployment.New("target/ledgepin", "review/1/record.txt")
	if err != nil {
		fmt.Println(err)
		os.Exit(deployment.Failed)
	}
	code, err := run(d)
	if err != nil {
		d.Note("could not run: %v", err)
		code = deployment.Failed
	}
	d.Note("exit code %d", code)
	d.Close()
	os.Exit(code)
}

func config(version int, prefix string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"rates","host":"h","pathPrefix":"/%s/","kind":"idempotent","timeoutMs":1500,"targetLatencyMs":300,"service":"app","maxAttempts":2}],
 "services":[{"name":"app","healthCheck":"/health","maxConnections":100,"protocol":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, version, prefix)
}

// run plays the case and returns its exit code.
func run(d *deployment.Deployment) (int, error) {
	if err := d.Lay(5, 0, 2); err != nil {
		return 0, err
	}
	for _, p := range d.Controls {
		if err := p.Start(true); err != nil {
			return 0, err
		}
	}
	if !d.Put(10, config(10, "old"), 10*time.Second) {
		return 0, fmt.Errorf("the first configuration was not acknowledged")
	}
	leader, err := d.WaitVoters(5, 20*time.Second)
	if err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	d.Note("%s leads, 5 voters", leader.Name)
	lost, behind, rest := split(d, leader)
	if deployment.Trouble() {
		for _, p := range behind {
			p.Kill()
			d.Note("%s is killed: it misses the next change", p.Name)
		}
	}
	if !d.Put(20, config(20, "new"), 10*time.Second) {
		return 0, fmt.Errorf("the second configuration was not acknowledged")
	}
	if deployment.Trouble() {
		if err := disrupt(d, lost, behind, rest); err != nil {
			return 0, err
		}
	}
	time.Sleep(applyTime)
	return check(d), nil
}

// split returns a seed that does not lead, the two replicas that will miss a change, and the two others,
// one of which leads.
func split(d *deployment.Deployment, leader *deployment.Process) (lost *deployment.Process, behind, rest []*deployment.Process) {
	rest = append(rest, leader)
	for n, p := range d.Controls {
		switch {
		case p == leader:
		case lost == nil && n < 3:
			lost = p
		case len(behind) < 2:
			behind = append(behind, p)
		default:
			rest = append(rest, p)
		}
	}
	return lost, behind, rest
}

// disrupt takes the disk of one replica that has acknowledged the change, and makes the others that have
// it dark for a time. Meanwhile the replicas that missed the change come back, and so does the replica
// with the lost disk, which is killed again and again while it starts.
func disrupt(d *deployment.Deployment, lost *deployment.Process, behind, rest []*deployment.Process) error {
	for _, p := range append([]*deployment.Process{lost}, rest...) {
		p.Kill()
		d.Note("%s is killed", p.Name)
	}
	if err := os.RemoveAll(lost.Data); err != nil {
		return err
	}
	if err := os.Mkdir(lost.Data, 0o700); err != nil {
		return err
	}
	d.Note("the disk of %s is lost", lost.Name)
	dark := clock.VM.Now()
	for _, p := range behind {
		if err := p.Start(false); err != nil {
			return err
		}
		d.Note("%s is back with its disk", p.Name)
	}
	if err := startAndKill(d, lost); err != nil {
		return err
	}
	time.Sleep(darkTime - clock.VM.Since(dark))
	status(d)
	for _, p := range rest {
		if err := p.Start(false); err != nil {
			return err
		}
		d.Note("%s is back with its disk", p.Name)
	}
	time.Sleep(recoverTime)
	status(d)
	return nil
}

// startAndKill starts the replica with the empty disk again and again. It kills it as soon as its data
// folder has a file, and leaves it alone once it has an identity or after maxKills times.
func startAndKill(d *deployment.Deployment, p *deployment.Process) error {
	kills := maxKills
	if os.Getenv("KILLS") == "0" { // for comparison: the same losses, without the kills at the start
		kills = 0
	}
	for range kills {
		if err := p.Start(false); err != nil {
			return err
		}
		for end := clock.VM.Now().Add(2 * time.Second); clock.VM.Now().Before(end); {
			if files, _ := os.ReadDir(p.Data); len(files) > 0 {
				break
			}
		}
		p.Kill()
		d.Note("%s was started and killed; its data folder holds %v", p.Name, names(p.Data))
		if _, err := os.Stat(filepath.Join(p.Data, "control.log")); err == nil {
			break
		}
	}
	if err := p.Start(false); err != nil {
		return err
	}
	time.Sleep(time.Second)
	id, _ := os.ReadFile(filepath.Join(p.Data, "control.identity"))
	d.Note("%s is back with an empty disk; its identity is %s", p.Name, id)
	return nil
}

func names(dir string) []string {
	var out []string
	files, _ := os.ReadDir(dir)
	for _, f := range files {
		out = append(out, f.Name())
	}
	return out
}

// status notes what each replica tells operators.
func status(d *deployment.Deployment) {
	for _, p := range d.Controls {
		if s, ok := p.Status(); ok {
			version, code := p.Version()
			d.Note("%s: %s of term %d, log up to %d, voters %v; answers version %d (status %d)", p.Name, s.Log.Role, s.Log.Term, s.Log.Last, s.Log.Members.Voters, version, code)
		} else {
			d.Note("%s does not answer", p.Name)
		}
	}
}

// check reads the configuration back from each replica, repeatedly for at least contactTime.
func check(d *deployment.Deployment) int {
	code, good := deployment.Held, 0
	wrong := map[string]int{}
	for end := clock.VM.Now().Add(contactTime + time.Second); clock.VM.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, p := range d.Controls {
			version, status := p.Version()
			switch {
			case status == http.StatusOK && version != 20:
				wrong[fmt.Sprintf("%s answers version %d, but 20 was acknowledged", p.Name, version)]++
				code = deployment.Broken
			case status == http.StatusOK:
				good++
			}
		}
	}
	for text, count := range wrong {
		d.Note("operator: %s (%d times)", text, count)
	}
	d.Note("operator: %d answers had version 20", good)
	if code == deployment.Held && good == 0 {
		d.Note("operator: the configuration does not come")
		code = deployment.Broken
	}
	return code
}
