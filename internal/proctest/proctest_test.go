package proctest_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyfront/comfreyfront/internal/keyvalue"
	"github.com/comfreyfront/comfreyfront/internal/proctest"
	"github.com/comfreyfront/comfreyfront/internal/standin/fault"
	"github.com/comfreyfront/comfreyfront/internal/standin/service"
	"github.com/comfreyfront/comfreyfront/platform"
)

var binaries proctest.Binaries

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "proctest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	if binaries, err = proctest.BuildStandin(folder); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

func newCluster(t *testing.T) *proctest.Cluster {
	t.Helper()
	cluster, err := proctest.NewCluster(proctest.Layout{Binaries: binaries, Folder: t.TempDir()})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, cluster.Close()) })
	return cluster
}

func TestEndpointsRegisterAndJournalSurvivesKill(t *testing.T) {
	cluster := newCluster(t)
	endpoint, err := cluster.StartService("s1", "fd1", "register")
	require.NoError(t, err)
	_, err = cluster.StartEngine("e1", "fd2", "m")
	require.NoError(t, err)
	listed := func() int {
		var reply struct{ Instances []keyvalue.Instance }
		require.NoError(t, cluster.ListControl().Get("/instances", &reply))
		return len(reply.Instances)
	}
	require.Eventually(t, func() bool { return listed() == 2 }, time.Minute, time.Millisecond)
	resp, err := http.Post("http://"+endpoint.Addresses[0]+"/wells/1", "text/plain", strings.NewReader("x"))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	endpoint.Kill()
	records, err := service.ReadJournal(endpoint.Journal)
	require.NoError(t, err)
	require.Len(t, records, 1)
	restarted, err := cluster.RestartEndpoint(endpoint)
	require.NoError(t, err)
	require.Equal(t, "s1", restarted.ID)
}

func TestCrashMarkerCrashesProcess(t *testing.T) {
	cluster := newCluster(t)
	endpoint, err := cluster.StartService("s1", "fd1", "register")
	require.NoError(t, err)
	_, err = http.Post("http://"+endpoint.Addresses[0]+"/", "text/plain", strings.NewReader(service.CrashMarker))
	require.Error(t, err)
	code, err := endpoint.Wait(time.Minute)
	require.NoError(t, err)
	require.Equal(t, 134, code)
}

func TestPausedProcessResumes(t *testing.T) {
	cluster := newCluster(t)
	endpoint, err := cluster.StartService("s1", "fd1", "register")
	require.NoError(t, err)
	endpoint.Pause()
	answered := make(chan error, 1)
	go func() {
		resp, err := http.Get("http://" + endpoint.Addresses[0] + "/")
		if err == nil {
			err = resp.Body.Close()
		}
		answered <- err
	}()
	endpoint.Resume()
	require.NoError(t, <-answered)
	endpoint.Terminate()
	code, err := endpoint.Wait(time.Minute)
	require.NoError(t, err)
	require.Zero(t, code)
}

func TestControlInjectsStoreFaults(t *testing.T) {
	cluster := newCluster(t)
	client := platform.NewNamedStoreClient(cluster.Store.Addresses[0], "a")
	defer client.CloseIdleConnections()
	require.NoError(t, cluster.StoreControl().Put("/faults", fault.Fault{Client: "a", Down: true}))
	_, err := client.Grant(t.Context(), time.Second)
	require.Error(t, err)
	require.NoError(t, cluster.StoreControl().Delete("/faults"))
	_, err = client.Grant(t.Context(), time.Second)
	require.NoError(t, err)
}

// echo starts a TCP echo server and returns its address.
func echo(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(connection, connection)
				_ = connection.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

func requireEcho(t *testing.T, connection net.Conn) {
	t.Helper()
	_, err := connection.Write([]byte("x"))
	require.NoError(t, err)
	_, err = io.ReadFull(connection, make([]byte, 1))
	require.NoError(t, err)
}

func TestLinkStallCutAndRestore(t *testing.T) {
	link, err := proctest.NewLink(echo(t))
	require.NoError(t, err)
	defer link.Close()
	connection := dial(t, link.Address())
	requireEcho(t, connection)
	link.Stall()
	_, err = connection.Write([]byte("y"))
	require.NoError(t, err)
	link.Restore()
	_, err = io.ReadFull(connection, make([]byte, 1))
	require.NoError(t, err, "stalled data is forwarded after Restore")
	link.Cut()
	_, err = connection.Read(make([]byte, 1))
	require.Error(t, err)
	_, err = dial(t, link.Address()).Read(make([]byte, 1))
	require.Error(t, err)
	link.Restore()
	requireEcho(t, dial(t, link.Address()))
}

func TestEndpointBehindLinkIsListedAndCanBeCut(t *testing.T) {
	cluster := newCluster(t)
	endpoint, err := cluster.StartServiceBehindLink("s1", "fd1", "register")
	require.NoError(t, err)
	var reply struct{ Instances []keyvalue.Instance }
	require.NoError(t, cluster.ListControl().Get("/instances", &reply))
	require.Equal(t, []keyvalue.Instance{{
		ID: "s1", Kind: keyvalue.KindService, Address: endpoint.Link.Address(),
		FailureDomain: "fd1", Region: "r1", Serves: "register",
	}}, reply.Instances)
	get := func() error {
		resp, err := http.Get("http://" + endpoint.Link.Address() + "/")
		if err != nil {
			return err
		}
		return resp.Body.Close()
	}
	require.NoError(t, get())
	endpoint.Link.Cut()
	require.Error(t, get())
	endpoint.Link.Restore()
	require.NoError(t, get())
}
