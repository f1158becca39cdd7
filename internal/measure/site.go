// Package measure compares the naive and the adaptive policy. Both send the same seeded
// requests to the same kind of stand-ins, over HTTP on loopback, and their figures are
// reported side by side.
package measure

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/endpoint"
	"github.com/comfreyfront/comfreyfront/internal/standin/engine"
	"github.com/comfreyfront/comfreyfront/internal/standin/service"
)

// Names of the model and application that a site serves, and of its region.
const (
	model       = "model"
	application = "application"
	region      = "region"
)

// Sizes and delays of a site.
const (
	domains      = 4
	engineCount  = 9
	serviceCount = 4
	entryCount   = 6
	// slots is the number of slots of an endpoint.
	slots = 8
	// reportLag is the age of load reports.
	reportLag = 500 * time.Millisecond
	// serviceTime is the duration of a service call.
	serviceTime = 5 * time.Millisecond
	// clientDelay is the one-way delay between clients and entries.
	clientDelay = 3 * time.Millisecond
)

// Durations of an engine step, see engine.Options.
const (
	stepBase        = 5 * time.Millisecond
	stepPerSequence = 500 * time.Microsecond
	prefillPerChar  = 10 * time.Microsecond
)

// One-way delays between failure domains in the two simulated deployments, the initial weight
// version, and the timeout for request headers.
const (
	longDomainDelay   = 5 * time.Millisecond
	shortDomainDelay  = 4 * time.Millisecond
	firstVersion      = 1
	readHeaderTimeout = 10 * time.Second
)

// Site is a deployment of engine and service stand-ins.
type Site struct {
	OneWay   time.Duration
	Engines  []*engine.Server
	Services []*service.Server

	endpoints []endpoint.Endpoint
	servers   []*http.Server
}

// NewSite starts engines and services, distributed over the failure domains, with the
// given one-way delay between domains.
func NewSite(oneWay time.Duration) (*Site, error) {
	s := &Site{OneWay: oneWay}
	for i := range engineCount {
		e, err := engine.New(engine.Options{
			Model: model, Slots: slots, Version: firstVersion, ReportLag: reportLag,
			StepBase: stepBase, StepPerSequence: stepPerSequence, PrefillPerChar: prefillPerChar,
		})
		if err != nil {
			return nil, err
		}
		s.Engines = append(s.Engines, e)
		if err := s.serve(e.Handler(), endpoint.Engine, model, i); err != nil {
			return nil, err
		}
	}
	for i := range serviceCount {
		v, err := service.New(service.Options{Delay: serviceTime, Slots: slots, ReportLag: reportLag})
		if err != nil {
			return nil, err
		}
		s.Services = append(s.Services, v)
		if err := s.serve(v.Handler(), endpoint.Service, application, i); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// serve starts an HTTP server for an endpoint and adds it to the site.
func (s *Site) serve(handler http.Handler, kind endpoint.Kind, serves string, number int) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	s.servers = append(s.servers, server)
	s.endpoints = append(s.endpoints, endpoint.Endpoint{
		ID:            fmt.Sprintf("%s-%d", serves, number),
		Kind:          kind,
		Serves:        serves,
		Address:       listener.Addr().String(),
		FailureDomain: domainOf(number),
		Region:        region,
		ActiveVersion: firstVersion,
	})
	go func() { _ = server.Serve(listener) }()
	return nil
}

// domainOf returns the failure domain of an instance by its number.
func domainOf(number int) string {
	return fmt.Sprintf("domain-%d", number%domains)
}

// Close stops the servers and engines.
func (s *Site) Close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
	for _, e := range s.Engines {
		e.Close()
	}
}
