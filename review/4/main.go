// Command 4 plays case 4 of the second review: another writer sends heartbeats whose name can't be
// read, one to each control replica.
package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/ledgepin/ledgepin/clock"
	"github.com/ledgepin/ledgepin/review/cluster"
)

const (
	controls = 5
	gateways = 3
	// readFor is how long the operator asks for the configuration: longer than contactMs (6 s) of
	// the site.
	readFor = 12 * time.Second
	// unreadable is the name of the server in the heartbeats of the other writer, as it stands in the
	// path: a byte that is no text in UTF-8.
	unreadable = "%FF"
)

// document returns a configuration of the given version.
func document(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-1","host":"h","pathPrefix":"/v%d/","kind":"idempotent","timeoutMs":3000,"targetLatencyMs":300,"priority":2,"service":"lic-broker","maxAttempts":2,"sessionAffinity":false,"resumable":false}],`+
		`"services":[{"name":"lic-broker","healthCheck":"/health","maxConnections":680,"protocol":"h1","tls":false}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, version, version)
}

func main() { os.Exit(run()) }

func run() int {
	record, err := cluster.NewRecord("review/4/record.txt")
	if err != nil {
		return cluster.CantRun
	}
	defer record.Close()
	c, err := cluster.Start(cluster.Size{Controls: controls, Gateways: gateways})
	if err != nil {
		record.Note("the deployment does not start: %v", err)
		return cluster.CantRun
	}
	defer c.Close()
	code, err := play(c, record)
	if err != nil {
		record.Note("the case could not run: %v", err)
		return cluster.CantRun
	}
	record.Note("exit %d", code)
	return code
}

// play has two configurations acknowledged, sends the heartbeats, and reads the configuration back.
func play(c *cluster.Cluster, record *cluster.Record) (int, error) {
	if err := c.Put(document(1)); err != nil {
		return 0, err
	}
	if err := c.AwaitReady(); err != nil {
		return 0, err
	}
	time.Sleep(6 * time.Second) // until all replicas are members of the group
	if err := c.Put(document(2)); err != nil {
		return 0, err
	}
	record.Note("operator: version 2 is acknowledged")
	time.Sleep(4 * time.Second) // configApplyMs
	if got := read(c, record); got != document(2) {
		return 0, fmt.Errorf("before the disruption: %q", got)
	}
	name := "i-2"
	if cluster.Trouble() {
		name = unreadable
	}
	for _, api := range c.Controls {
		status, err := heartbeat(api, name)
		record.Note("other writer: heartbeat of %s to %s: status %d, %v", name, api, status, err)
	}
	time.Sleep(time.Second)
	begun := clock.VM.Now()
	got := ""
	for clock.VM.Since(begun) < readFor && got == "" {
		got = read(c, record)
		time.Sleep(500 * time.Millisecond)
	}
	record.Note("operator: a change is acknowledged: %t", putOnce(c, document(3)))
	for _, process := range []string{"gateway-0", "control-0"} {
		record.Note("%s has closed %d links because of a message that it could not read", process, strings.Count(c.Log(process), "invalid UTF-8"))
	}
	switch got {
	case document(2):
		record.Note("operator: read back version 2")
		return cluster.Held, nil
	case "":
		record.Note("CONFIG: the configuration does not come, in %.1f s of asking all %d nodes", clock.VM.Since(begun).Seconds(), controls)
	default:
		record.Note("CONFIG: what comes differs from version 2: %q", got)
	}
	return cluster.Broken, nil
}

// read asks the nodes in turn for the configuration; empty if none answers with it.
func read(c *cluster.Cluster, record *cluster.Record) string {
	for _, api := range c.Controls {
		status, body, err := cluster.Call(http.MethodGet, "http://"+api+"/-/config/get", nil)
		record.Note("operator: read at %s: status %d, %d bytes, %v", api, status, len(body), err)
		if err == nil && status == http.StatusOK {
			return string(body)
		}
	}
	return ""
}

// putOnce sends a configuration to each node once, and reports whether one acknowledges it.
func putOnce(c *cluster.Cluster, text string) bool {
	for _, api := range c.Controls {
		status, _, err := cluster.Call(http.MethodPost, "http://"+api+"/-/config/put", []byte(text))
		if err == nil && status == http.StatusOK {
			return true
		}
	}
	return false
}

// heartbeat sends a heartbeat under a name, which stands in the path.
func heartbeat(api, name string) (int, error) {
	body := `{"service":"lic-broker","address":"127.0.0.1:9","zone":"z","version":"v1","slots":6,"state":"draining","coldRemainingMs":0,"sequence":1}`
	req, err := http.NewRequest(http.MethodPost, "http://"+api+"/-/instances/"+name+"/heartbeat", bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}
