package proctest

import "github.com/comfreyfront/comfreyfront/internal/keyvalue"

// StartEngineBehindLink starts a model engine that entries reach only through its Link. It stays
// listed as long as its process runs, even if the link is cut or stalled. RestartEndpoint does not
// support such an endpoint.
func (c *Cluster) StartEngineBehindLink(id, failureDomain, model string, args ...string) (*Endpoint, error) {
	instance := keyvalue.Instance{ID: id, Kind: keyvalue.KindEngine, FailureDomain: failureDomain, Serves: model}
	return c.startBehindLink(instance, append([]string{"engine", "--model", model}, args...))
}

// StartServiceBehindLink starts a plain service in the same way as StartEngineBehindLink.
func (c *Cluster) StartServiceBehindLink(id, failureDomain, application string, args ...string) (*Endpoint, error) {
	instance := keyvalue.Instance{ID: id, Kind: keyvalue.KindService, FailureDomain: failureDomain, Serves: application}
	return c.startBehindLink(instance, append([]string{"service", "--application", application}, args...))
}

// startBehindLink starts a stand-in that does not register itself in the instance list, and
// registers it with its link's address.
func (c *Cluster) startBehindLink(instance keyvalue.Instance, args []string) (*Endpoint, error) {
	journal := c.journalPath(instance.ID)
	arguments := append(args, "--id", instance.ID, "--failure-domain", instance.FailureDomain, "--region", region, "--journal-file", journal)
	process, err := c.startStandin(instance.ID, arguments...)
	if err != nil {
		return nil, err
	}
	endpoint := &Endpoint{Process: process, ID: instance.ID, Kind: args[0], Journal: journal, args: args}
	c.mu.Lock()
	c.endpoints[instance.ID] = endpoint
	c.mu.Unlock()
	if endpoint.Link, err = c.newLink(process.Addresses[0]); err != nil {
		return nil, err
	}
	instance.Region, instance.Address = region, endpoint.Link.Address()
	return endpoint, c.keepListed(process, instance)
}
