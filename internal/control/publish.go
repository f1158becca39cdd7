package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/comfreyfront/comfreyfront/internal/endpoint"
	"github.com/comfreyfront/comfreyfront/internal/event"
	"github.com/comfreyfront/comfreyfront/internal/exchange"
	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
)

// publish builds and publishes a snapshot of the control state. Parts that did not
// change are shared with the previous snapshot.
func (m *Manager) publish(now time.Time) {
	if m.dirty.follow {
		m.chooseFollowed()
	}
	last := m.options.Snapshots.Load()
	snapshot := &Snapshot{
		Self:           peerOf(m.state.Self()),
		Peers:          m.peers(now),
		Dead:           idsOf(m.state.Dead(now)),
		Classes:        m.classes,
		ConfirmedAt:    m.state.ConfirmedAt(),
		Endpoints:      last.Endpoints,
		Versions:       m.versions(now),
		StoreReachable: m.storeReachable,
		PeersReachable: m.peersReachable(now),
	}
	if m.dirty.endpoints || last.Endpoints == nil {
		snapshot.Endpoints = m.endpointSnapshots()
	}
	snapshot.Settled = m.updateSettled(now)
	snapshot.EntriesPerEndpoint = m.entriesPerEndpoint(snapshot.Staying())
	m.updateIsolation(snapshot)
	m.dirty = dirtyFlags{}
	m.options.Snapshots.Publish(snapshot)
}

// updateSettled updates and returns m.settled. It becomes true when the entry knows all
// other listed entries, and so can reach the owner of any unit, or when settleTime has
// passed since the start, and then stays true.
func (m *Manager) updateSettled(now time.Time) bool {
	m.settled = m.settled || now.Sub(m.startedAt) >= settleTime || m.listRead && m.knowsListedEntries()
	return m.settled
}

func (m *Manager) knowsListedEntries() bool {
	for id := range m.entries {
		if !m.state.Knows(id) {
			return false
		}
	}
	return true
}

func idsOf(members []exchange.Member) []string {
	var ids []string
	for _, member := range members {
		ids = append(ids, member.ID)
	}
	return ids
}

// entriesPerEndpoint returns the number of entries that share an endpoint; see
// Snapshot.EntriesPerEndpoint.
func (m *Manager) entriesPerEndpoint(staying int) int {
	if len(m.endpoints) <= m.options.FollowAll {
		return staying
	}
	return min(staying, m.options.Followers)
}

func (m *Manager) peersReachable(now time.Time) bool {
	return !m.repliedAt.IsZero() && now.Sub(m.repliedAt) < peerReplyWindow
}

// updateIsolation logs when the entry becomes isolated or connected again. It logs nothing
// until the entry has been connected once.
func (m *Manager) updateIsolation(snapshot *Snapshot) {
	isolated := snapshot.Isolated()
	if isolated == m.isolated || !m.wasConnected {
		m.wasConnected = m.wasConnected || !isolated
		return
	}
	m.isolated = isolated
	if isolated {
		event.EntryIsolated.Log(context.Background(), m.logger)
		return
	}
	event.EntryConnected.Log(context.Background(), m.logger)
}

func peerOf(member exchange.Member) Peer {
	return Peer{
		ID: member.ID, Address: member.Address, FailureDomain: member.FailureDomain, Incarnation: member.Incarnation,
		Leaving: member.Leaving, ConfigRevision: member.ConfigRevision,
	}
}

func (m *Manager) peers(now time.Time) []Peer {
	live := m.state.Reachable(now)
	peers := make([]Peer, 0, len(live)+1)
	peers = append(peers, peerOf(m.state.Self()))
	for _, member := range live {
		peers = append(peers, peerOf(member))
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	return peers
}

func (m *Manager) versions(now time.Time) map[string]Versions {
	last := m.options.Snapshots.Load().Versions
	versions := map[string]Versions{}
	m.state.Versions(func(model string, newest, floor int64) {
		next := last[model].accept(newest, now)
		next.Floor = floor
		versions[model] = next
	})
	return versions
}

// endpointSnapshots returns the followed endpoints by model or application, in order
// of ID.
func (m *Manager) endpointSnapshots() map[string][]*endpoint.Endpoint {
	endpoints := map[string][]*endpoint.Endpoint{}
	for _, t := range m.following {
		endpoints[t.instance.Serves] = append(endpoints[t.instance.Serves], m.endpointSnapshot(t))
	}
	return endpoints
}

func (m *Manager) endpointSnapshot(t *tracked) *endpoint.Endpoint {
	return &endpoint.Endpoint{
		ID:            t.instance.ID,
		Kind:          kindOf(t.instance.Kind),
		Serves:        t.instance.Serves,
		Address:       t.instance.Address,
		FailureDomain: t.instance.FailureDomain,
		Region:        t.instance.Region,
		ChecksFence:   t.instance.ChecksFence,
		Leaving:       m.leaving(t),
		Unready:       t.rolloutUnready || t.failures >= failuresToUnready,
		ActiveVersion: t.version,
		Demotion:      max(t.demotion, m.state.Demotion(t.instance.ID)),
		OwnInFlight:   t.ownInFlight,
		Running:       t.running,
		Waiting:       t.waiting,
		Slots:         t.slots,
		ReportedAt:    t.reportedAt,
		Live:          t.live,
	}
}

func kindOf(kind keyvalue.InstanceKind) endpoint.Kind {
	if kind == keyvalue.KindService {
		return endpoint.Service
	}
	return endpoint.Engine
}
