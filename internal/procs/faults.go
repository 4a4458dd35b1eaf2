package procs

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/go-faster/errors"

	"tanagerchute/io/fakekv"
	"tanagerchute/io/server"
)

// startProxy starts a fault-injecting proxy that listens at one address and connects
// to another.
func (f *Fleet) startProxy(name, listen, to string) (*toxiproxy.Proxy, error) {
	p := toxiproxy.NewProxy(f.proxyServer, name, listen, to)
	if err := p.Start(); err != nil {
		return nil, errors.Wrapf(err, "proxy %s", name)
	}
	return p, addTally(p)
}

// AddToxic adds a fault, described in toxiproxy's JSON, to a proxy.
func AddToxic(p *toxiproxy.Proxy, toxicJSON string) error {
	_, err := p.Toxics.AddToxicJson(strings.NewReader(toxicJSON))
	return err
}

// RemoveToxic removes a fault by its name.
func RemoveToxic(p *toxiproxy.Proxy, name string) error {
	return p.Toxics.RemoveToxic(context.Background(), name)
}

// SetFaults sets the faults that a backend server injects.
func (f *Fleet) SetFaults(in *Instance, faults server.Faults) error {
	return f.put("http://"+in.BackendAddr+"/standin/faults", faults)
}

// SetStoreFaults sets the faults that the store injects.
func (f *Fleet) SetStoreFaults(faults fakekv.Faults) error {
	return f.put(f.StoreURL+"/faults", faults)
}

// put sends v as JSON to a stand-in.
func (f *Fleet) put(url string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	res, err := f.client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("%s: status %d", url, res.StatusCode)
	}
	return nil
}

// Ledger returns the calls that the backend server of in has recorded.
func (f *Fleet) Ledger(in *Instance) ([]server.Entry, error) {
	res, err := f.client.Get("http://" + in.BackendAddr + "/standin/ledger")
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	var entries []server.Entry
	return entries, json.NewDecoder(res.Body).Decode(&entries)
}
