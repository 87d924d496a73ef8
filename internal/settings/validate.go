package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"

	"auburnpier/internal/fault"
)

// namePattern matches valid names of instances, regions and zones.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

const nameAllowed = "1 to 63 of a-z, 0-9, '.', '_', '-', starting with a letter or digit"

type validator struct {
	faults fault.List
}

func (s *Settings) validate() fault.List {
	v := &validator{}
	v.name("instance", string(s.Instance))
	v.name("location.region", string(s.Location.Region))
	v.name("location.zone", string(s.Location.Zone))
	v.address("listen.api", s.Listen.API)
	v.address("listen.peers", s.Listen.Peers)
	v.oneOf("store.adapter", s.Store.Adapter, "http")
	v.url("store.address", s.Store.Address)
	v.between("store.timeout_ms", s.Store.TimeoutMS, 10, 60_000)
	v.url("vm_list.address", s.VMList.Address)
	v.between("vm_list.poll_ms", s.VMList.PollMS, 100, 5_000)
	v.between("vm_list.lag_ms", s.VMList.MaxLagMS, 1_000, 600_000)
	for i, seed := range s.Peers.Seeds {
		v.address(fmt.Sprintf("peers.seeds[%d]", i), seed)
	}
	if len(s.Peers.Seeds) > 0 && s.Peers.SecretFile == "" {
		v.add("peers.secret_file", `""`, "the path of a file with the secret that all instances share",
			"write the same secret to that file on each VM")
	}
	v.certificate("tls.api", s.TLS.API)
	v.certificate("tls.peers", s.TLS.Peers)
	if s.TLS.Peers.Enabled() && s.TLS.Peers.CAFile == "" {
		v.add("tls.peers.ca_file", `""`, "a CA file, because instances verify each other", "set the CA file")
	}
	v.weight("policy.share_weight", s.Policy.ShareWeight, maxWeight)
	v.weight("policy.waiting_weight", s.Policy.WaitingWeight, maxWeight)
	v.weight("policy.packing_weight", s.Policy.PackingWeight, 1)
	v.between("policy.reservation_delay_ms", s.Policy.HoldDelayMS, 1_000, 3_600_000)
	v.fraction("policy.max_held", s.Policy.MaxHoldFraction)
	s.validateRequests(v)
	v.between("shutdown.balancer_delay_ms", s.Shutdown.BalancerDelayMS, 0, 60_000)
	v.between("shutdown.bound_ms", s.Shutdown.TimeoutMS, 100, 600_000)
	v.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	return v.faults
}

func (s *Settings) validateRequests(v *validator) {
	v.between("requests.max_body_bytes", s.Requests.MaxBodyBytes, 1<<10, 1<<30)
	v.between("requests.max_header_bytes", s.Requests.MaxHeaderBytes, 1<<10, 1<<20)
	v.between("requests.read_timeout_ms", s.Requests.ReadTimeoutMS, 100, 600_000)
	v.between("requests.max_connections", s.Requests.MaxConnections, 1, 100_000)
	v.between("requests.max_waiting_bytes", s.Requests.MaxWaitingBytes, 1<<10, 1<<30)
	if s.Requests.MaxIncomingBytes != 0 {
		v.between("requests.max_incoming_bytes", s.Requests.MaxIncomingBytes, 1<<10, 1<<30)
	}
	v.between("requests.slot_hold_bound_ms", s.Requests.SlotHoldTimeoutMS, 100, 600_000)
}

func (v *validator) add(path, given, allowed, remedy string) {
	v.faults.Add(path, given, allowed, remedy)
}

func (v *validator) name(path, value string) {
	if !namePattern.MatchString(value) {
		v.add(path, fmt.Sprintf("%q", value), nameAllowed, "set a name of that form")
	}
}

func (v *validator) address(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		v.add(path, fmt.Sprintf("%q", value), "an IP number and a port, such as \"10.0.0.5:8080\"",
			"write the IP number, not a host name")
	}
}

func (v *validator) url(path, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		v.add(path, fmt.Sprintf("%q", value), "a URL, such as \"http://10.0.0.5:7000\"",
			"write scheme, IP number and port")
	}
}

func (v *validator) between(path string, value, low, high int64) {
	if value < low || value > high {
		v.add(path, fmt.Sprint(value), fmt.Sprintf("%d to %d", low, high), "set a value in that range or remove the field for the default")
	}
}

// maxWeight limits the weights so that one can't make the others meaningless.
const maxWeight = 100

func (v *validator) weight(path string, value, limit float64) {
	if !(value >= 0 && value <= limit) {
		v.add(path, fmt.Sprint(value), fmt.Sprintf("0 to %g", limit), "set a value in that range or remove the field for the default")
	}
}

// minHoldFraction is the minimum of policy.max_held. Zero must be rejected because the scheduler
// takes it as unset and uses its default.
const minHoldFraction = 0.01

func (v *validator) fraction(path string, value float64) {
	if !(value >= minHoldFraction && value <= 1) {
		v.add(path, fmt.Sprint(value), fmt.Sprintf("%g to 1", minHoldFraction), "set a part of the partition in that range or remove the field for the default")
	}
}

func (v *validator) oneOf(path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		v.add(path, fmt.Sprintf("%q", value), fmt.Sprintf("one of %q", allowed), "choose one of them")
	}
}

func (v *validator) certificate(path string, c Certificate) {
	if (c.CertFile == "") != (c.KeyFile == "") {
		v.add(path, fmt.Sprintf("cert_file %q, key_file %q", c.CertFile, c.KeyFile),
			"both files or neither", "set the missing file")
	}
	if c.CAFile != "" && c.CertFile == "" {
		v.add(path+".ca_file", fmt.Sprintf("%q", c.CAFile), "a CA file only together with cert_file and key_file",
			"set cert_file and key_file too")
	}
}
