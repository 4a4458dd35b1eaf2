package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"tanagerchute/internal/procs"
)

const (
	answerWithin    = 8 * time.Second
	mayWait         = 4 * time.Second
	versionInterval = 3 * time.Second
	probeInterval   = 400 * time.Millisecond
	probeTimeout    = 2 * time.Second
	versionRoutes   = 6 // a version has routes for itself and the versions before it
	// dueVersions is how many versions later the operator still asks for a version.
	// It must be in force then: that is longer than versionBound.
	dueVersions = 3
)

// Applied is a version of the configuration that the operator published.
type Applied struct {
	Number uint64
	Acked  time.Time // when the operator was told that it is accepted
}

// Probe is the answer of a node to the question whether a version, or a newer one, is
// in force there.
type Probe struct {
	Node      int
	Version   uint64
	Sent, Got time.Time
	InForce   bool
	Withdrawn bool // the question was for a route that Version no longer has
}

// operator publishes versions and asks the nodes which one is in force.
type operator struct {
	fleet    *procs.Fleet
	client   http.Client
	mu       sync.Mutex
	versions []Applied
	probes   []Probe
	failed   int // attempts to publish a version
}

// document returns the configuration document of a version.
func document(version uint64) map[string]any {
	type object = map[string]any
	target := func(name, method, path string, once bool) object {
		return object{
			"name": name, "match": []object{{"method": method, "path": path}},
			"answer_within": answerWithin.String(), "may_wait": mayWait.String(), "at_most_once": once, "anonymous": true,
		}
	}
	skraning := []object{target("booking", "POST", "/bookings", true), target("lookup", "GET", "/places", false)}
	for v := version; v > 0 && v+versionRoutes > version; v-- {
		skraning = append(skraning, target(fmt.Sprint("version-", v), "GET", versionPath(v), false))
	}
	keys := map[string][]string{}
	for n := version; n < version+keyVersions; n++ {
		keys[accountOf(n)] = append(keys[accountOf(n)], accountKey(n))
	}
	var accounts []object
	for _, name := range accountNames {
		accounts = append(accounts, object{"name": name, "keys": keys[name]})
	}
	budir := []object{target("payment", "POST", "/payments", true), target("roster", "GET", "/rosters", false)}
	return object{"deployment": procs.Deployment, "accounts": accounts, "services": []object{
		{"name": "skraning", "classes": skraning}, {"name": "budir", "classes": budir},
	}}
}

func versionPath(version uint64) string { return fmt.Sprintf("/version/%d/", version) }

// publish publishes the version after parent.
func (o *operator) publish(parent uint64) error {
	data, err := json.Marshal(document(parent + 1))
	if err != nil {
		return err
	}
	file := o.fleet.Path("mesh.jsonc")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	out, code, err := o.fleet.Run("apply", "-store", o.fleet.StoreURL, "-parent", fmt.Sprint(parent), "-timeout", "5s", file)
	if err != nil {
		return err
	}
	if code != 0 {
		return fmt.Errorf("apply exited with status %d: %s", code, out)
	}
	o.addVersion(parent + 1)
	return nil
}

// addVersion records that the operator was told of a version.
func (o *operator) addVersion(number uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.versions) == 0 || o.versions[len(o.versions)-1].Number < number {
		o.versions = append(o.versions, Applied{Number: number, Acked: time.Now()})
	}
}

// newest returns the number of the newest version that the operator knows of.
func (o *operator) newest() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.versions) == 0 {
		return 0
	}
	return o.versions[len(o.versions)-1].Number
}

// run publishes versions until ctx ends.
func (o *operator) run(ctx context.Context) {
	for sleep(ctx, versionInterval) {
		if o.publish(o.newest()) == nil {
			continue
		}
		o.failed++
		o.lookUp()
	}
}

// lookUp finds out which version the store has, after an attempt to publish one that
// may have succeeded.
func (o *operator) lookUp() {
	out, code, err := o.fleet.Run("get", "-store", o.fleet.StoreURL, "-deployment", procs.Deployment)
	var number uint64
	if err != nil || code != 0 {
		return
	}
	if _, err := fmt.Sscanf(out, "// tanagerchute version %d\n", &number); err == nil {
		o.addVersion(number)
	}
}

// probe asks a node again and again which version is in force, until ctx ends.
func (o *operator) probe(ctx context.Context, node int) {
	for sleep(ctx, probeInterval) {
		v := o.newest()
		o.askFor(ctx, node, v)
		if v > dueVersions {
			o.askFor(ctx, node, v-dueVersions)
		}
	}
}

// askFor asks a node for the route that a version added, and for the one it removed.
func (o *operator) askFor(ctx context.Context, node int, version uint64) {
	o.ask(ctx, Probe{Node: node, Version: version}, versionPath(version))
	if version > versionRoutes {
		o.ask(ctx, Probe{Node: node, Version: version, Withdrawn: true}, versionPath(version-versionRoutes))
	}
}

// ask asks a node for a route. A node that has no configuration, is full, or can't be
// reached says nothing about its version.
func (o *operator) ask(ctx context.Context, p Probe, path string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+o.fleet.Instances[p.Node].CallerAddr+path, nil)
	if err != nil {
		return
	}
	req.Host = "skraning"
	p.Sent = time.Now()
	res, err := o.client.Do(req)
	if err != nil {
		return
	}
	defer res.Body.Close()
	var body bytes.Buffer
	if _, err := body.ReadFrom(res.Body); err != nil {
		return
	}
	p.Got = time.Now()
	routed := res.StatusCode == http.StatusOK
	if !routed && (res.StatusCode != http.StatusNotFound || !strings.Contains(body.String(), "no class")) {
		return
	}
	p.InForce = routed != p.Withdrawn
	o.mu.Lock()
	defer o.mu.Unlock()
	o.probes = append(o.probes, p)
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
