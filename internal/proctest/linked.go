package proctest

import "github.com/comfreyfront/comfreyfront/internal/keyvalue"

// StartEngineBehindLink starts a model engine that entries reach over its Link
// only. It stays listed while its process lives, whatever happens to the link.
// It is not for RestartEndpoint.
func (c *Cluster) StartEngineBehindLink(id, failureDomain, model string, args ...string) (*Endpoint, error) {
	instance := keyvalue.Instance{ID: id, Kind: keyvalue.KindEngine, FailureDomain: failureDomain, Serves: model}
	return c.startBehindLink(instance, append([]string{"engine", "--model", model}, args...))
}

// StartServiceBehindLink is StartEngineBehindLink for a plain service.
func (c *Cluster) StartServiceBehindLink(id, failureDomain, application string, args ...string) (*Endpoint, error) {
	instance := keyvalue.Instance{ID: id, Kind: keyvalue.KindService, FailureDomain: failureDomain, Serves: application}
	return c.startBehindLink(instance, append([]string{"service", "--application", application}, args...))
}

// startBehindLink starts a stand-in that does not list itself, and lists its
// link in its place.
func (c *Cluster) startBehindLink(instance keyvalue.Instance, args []string) (*Endpoint, error) {
	journal := c.journal(instance.ID)
	all := append(args, "--id", instance.ID, "--failure-domain", instance.FailureDomain, "--region", region, "--journal-file", journal)
	process, err := c.standin(instance.ID, all...)
	if err != nil {
		return nil, err
	}
	endpoint := &Endpoint{Process: process, ID: instance.ID, Kind: args[0], Journal: journal, args: args}
	c.mu.Lock()
	c.endpoints[instance.ID] = endpoint
	c.mu.Unlock()
	if endpoint.Link, err = c.link(process.Addresses[0]); err != nil {
		return nil, err
	}
	instance.Region, instance.Address = region, endpoint.Link.Address()
	return endpoint, c.keepListed(process, instance)
}
