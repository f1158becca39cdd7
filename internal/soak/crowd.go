package soak

import (
	"strings"

	"github.com/comfreyfront/comfreyfront/internal/crowd"
)

const (
	// memoryMB is the memory setting of the nodes, within which they must stay.
	memoryMB = 128
	// crowdBody is just below the largest body in the configuration, in bytes.
	crowdBody = 990_000
)

// outsiders are the clients that one fault starts, each of them outside the limits.
var outsiders = []crowd.Behavior{
	{Name: "stops short of the end", Clients: 60, Send: crowd.Chunked(crowd.Head("POST", "/lookup/x"), crowdBody, 33_000, false)},
	{Name: "chunks of one byte", Clients: 10, Send: crowd.Chunked(crowd.Head("POST", "/lookup/x"), crowdBody/10, 1, false)},
	{Name: "heads never finished", Clients: 60, Send: crowd.Text(crowd.Head("GET", "/lookup/x", "X-Filler: "+strings.Repeat("x", 8<<10)))},
	{Name: "submissions half sent", Clients: 60, Send: crowd.Stated(crowd.Head("POST", "/draft/x"), crowdBody, strings.Repeat("{", crowdBody/2))},
}

// gatherCrowd starts a crowd at a node and returns a function that ends it. The node's memory must
// stay within its setting, and its process must live unless another fault ends it.
func (env *environment) gatherCrowd(n *node) func() error {
	process := n.running()
	c := crowd.Start(n.callerAddress(), outsiders...)
	return func() error {
		c.Leave()
		if process == nil {
			return nil
		}
		select {
		case <-process.Done():
			if n.running() == process { // no fault ended it
				env.report.recordViolation("%s ended beside a crowd of clients", n.name)
			}
			return nil
		default:
		}
		// PeakMemory fails if another fault is just ending the process.
		if peak, err := process.PeakMemory(); err == nil && peak > memoryMB {
			env.report.recordViolation("%s used %.0f MB of %d MB", n.name, peak, memoryMB)
		}
		return nil
	}
}
