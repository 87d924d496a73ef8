package peering

import (
	"crypto/tls"
	"net/netip"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/core/membership"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
)

// Settings describes this instance and how it finds other instances.
type Settings struct {
	ID domain.InstanceID
	// Incarnation must be higher than that of each earlier process with the same ID.
	// The daemon uses the start time in Unix milliseconds.
	Incarnation uint64
	// Address is the IP:port at which peers reach this instance. The datagram socket
	// (UDP) and the gRPC listener (TCP) share it.
	Address string
	// Listen is the IP:port to listen on. Empty means Address.
	Listen string
	// RequestAddress is the host:port of the listener for client requests.
	RequestAddress string
	Location       domain.Location
	// Seeds are the addresses of instances to join. The instance's own address is ignored.
	Seeds []string
	// Secret is shared by all instances. It authenticates datagrams and calls.
	Secret []byte
	// TLS adds mutual TLS to the calls. It may be nil.
	TLS *tls.Config
	// adjustConfig changes the membership configuration in tests.
	adjustConfig func(*membership.Config)
}

// Deps holds the dependencies of the service.
type Deps struct {
	Clock   port.Clock
	Metrics *metrics.Registry
}

func (s Settings) validate() error {
	if s.ID == "" {
		return errors.New("peering: instance ID is empty")
	}
	if s.Incarnation == 0 {
		return errors.New("peering: incarnation is zero")
	}
	if len(s.Secret) == 0 {
		return errors.New("peering: shared secret is empty")
	}
	for _, address := range append([]string{s.Address, s.listen()}, s.Seeds...) {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return errors.Wrapf(err, "peer address %q is not IP:port", address)
		}
	}
	l := s.Location
	names := []string{string(s.ID), s.Address, s.RequestAddress, string(l.Region), string(l.Zone), string(l.Rack)}
	for _, name := range names {
		if len(name) > membership.MaxNameBytes {
			return errors.Newf("name %q has %d bytes, maximum is %d", name, len(name), membership.MaxNameBytes)
		}
	}
	return nil
}

func (s Settings) listen() string {
	if s.Listen != "" {
		return s.Listen
	}
	return s.Address
}

func (s Settings) record() membership.Record {
	return membership.Record{
		ID:             s.ID,
		Incarnation:    s.Incarnation,
		Address:        s.Address,
		RequestAddress: s.RequestAddress,
		Location:       s.Location,
	}
}
