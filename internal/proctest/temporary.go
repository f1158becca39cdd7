package proctest

import (
	"io"
	"os"
	"time"
)

// TemporaryOptions configures the cluster of RunTemporary.
type TemporaryOptions struct {
	// Log receives the standard error of all processes.
	Log io.Writer
	// ListLag is the delay until the instance list shows a change.
	ListLag time.Duration
}

// RunTemporary builds the programs into a temporary folder, starts a cluster without entries or
// endpoints, calls use, and then stops all processes and removes the folder.
func RunTemporary(options TemporaryOptions, use func(cluster *Cluster, folder string) error) error {
	folder, err := os.MkdirTemp("", "comfreyfront-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binaries, err := Build(folder)
	if err != nil {
		return err
	}
	cluster, err := NewCluster(Layout{Binaries: binaries, Folder: folder, Log: options.Log, ListLag: options.ListLag})
	if cluster != nil {
		defer func() { _ = cluster.Close() }()
	}
	if err != nil {
		return err
	}
	return use(cluster, folder)
}
