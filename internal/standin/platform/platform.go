// Package platform starts stand-ins of the platform on loopback addresses: the
// store, the VM list, workers and backend servers. Demos and tests use it.
package platform

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"auburnpier/internal/adapter/storehttp"
	"auburnpier/internal/adapter/vmlisthttp"
	"auburnpier/internal/adapter/workerhttp"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
	"auburnpier/internal/standin/backend"
	"auburnpier/internal/standin/store"
	"auburnpier/internal/standin/vmlist"
	"auburnpier/internal/standin/worker"
)

// Options sizes the platform.
type Options struct {
	Region domain.RegionID
	Zones  []domain.ZoneID
	// Workers and Backends are divided over the zones in turn.
	Workers  int
	Backends int
	// WorkersPerRack fills one rack after the other.
	WorkersPerRack int
	Capacity       domain.Resources
	// Slots and MaxConnections are those of each backend server.
	Slots          int
	MaxConnections int
	Queues         []domain.QueueID
	// Work is the time that a backend server takes for a request.
	Work time.Duration
	// ListLag is how far the VM list lags behind.
	ListLag time.Duration
}

// Platform holds the running stand-ins.
type Platform struct {
	Store    *store.Faulty
	VMs      *vmlist.List
	Workers  map[domain.WorkerID]*worker.Worker
	Backends map[domain.BackendID]*backend.Server

	StoreURL  string
	VMListURL string

	// StoreTraffic, ListTraffic and WorkerTraffic count what the stand-ins received and sent.
	StoreTraffic  Traffic
	ListTraffic   Traffic
	WorkerTraffic Traffic

	servers []*http.Server
}

// Start starts everything. Close ends it.
func Start(o Options) (*Platform, error) {
	p := &Platform{
		Store:    store.NewFaulty(store.New()),
		VMs:      vmlist.New(port.SystemClock{}, o.ListLag),
		Workers:  make(map[domain.WorkerID]*worker.Worker),
		Backends: make(map[domain.BackendID]*backend.Server),
	}
	if err := p.start(o); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

func (p *Platform) start(o Options) error {
	address, err := p.serve(storehttp.Handler(p.Store), &p.StoreTraffic)
	if err != nil {
		return err
	}
	p.StoreURL = "http://" + address
	if address, err = p.serve(vmlisthttp.Handler(p.VMs), &p.ListTraffic); err != nil {
		return err
	}
	p.VMListURL = "http://" + address
	for n := range o.Workers {
		if err := p.startWorker(o, n); err != nil {
			return err
		}
	}
	for n := range o.Backends {
		if err := p.startBackend(o, n); err != nil {
			return err
		}
	}
	return nil
}

func (p *Platform) startWorker(o Options, n int) error {
	id := domain.WorkerID(fmt.Sprintf("worker-%02d", n))
	w := worker.New(id, o.Capacity)
	address, err := p.serve(workerhttp.Handler(w), &p.WorkerTraffic)
	if err != nil {
		return err
	}
	p.Workers[id] = w
	zone := o.Zones[n%len(o.Zones)]
	rack := domain.RackID(fmt.Sprintf("%s-rack-%d", zone, n/len(o.Zones)/max(1, o.WorkersPerRack)))
	p.VMs.Put(domain.VM{
		ID: string(id), Role: domain.RoleWorker, Address: address, Capacity: o.Capacity,
		Location: domain.Location{Region: o.Region, Zone: zone, Rack: rack},
	})
	return nil
}

func (p *Platform) startBackend(o Options, n int) error {
	b, err := backend.Start(o.Work)
	if err != nil {
		return err
	}
	id := domain.BackendID(fmt.Sprintf("backend-%02d", n))
	p.Backends[id] = b
	p.VMs.Put(domain.VM{
		ID: string(id), Role: domain.RoleBackend, Address: b.Address(),
		Location: domain.Location{Region: o.Region, Zone: o.Zones[n%len(o.Zones)]},
		Slots:    o.Slots, MaxConnections: o.MaxConnections, Queues: o.Queues,
	})
	return nil
}

func (p *Platform) serve(h http.Handler, traffic *Traffic) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	p.servers = append(p.servers, s)
	go func() { _ = s.Serve(countingListener{l, traffic}) }()
	return l.Addr().String(), nil
}

// Close ends all stand-ins.
func (p *Platform) Close() {
	for _, s := range p.servers {
		_ = s.Close()
	}
	for _, b := range p.Backends {
		b.Close()
	}
}
