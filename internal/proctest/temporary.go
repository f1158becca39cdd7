package proctest

import (
	"io"
	"os"
	"time"
)

// TemporaryOptions says what a cluster of RunTemporary is like.
type TemporaryOptions struct {
	// Log receives what all processes write to their error output.
	Log io.Writer
	// ListLag is the lag of the instance list.
	ListLag time.Duration
}

// RunTemporary builds the programs into a folder of its own, starts a cluster
// without entries and endpoints, runs use, and ends and removes everything.
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
