// Package demo runs one instance with stand-ins of the platform in one
// process and drives example work through the real HTTP interface.
package demo

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"auburnpier/internal/adapter/apiclient"
	"auburnpier/internal/core/teamkey"
	"auburnpier/internal/daemon"
	"auburnpier/internal/domain"
	"auburnpier/internal/settings"
	"auburnpier/internal/standin/loopback"
	"auburnpier/internal/standin/platform"
)

// operatorKeyName is the file with the operator's key in the demo's folder.
const operatorKeyName = "operator.key"

// readyTimeout bounds the start of the instance.
const readyTimeout = 10 * time.Second

// Options of the demo.
type Options struct {
	// Once ends the demo after the example.
	Once bool
	// API is the address that the instance listens on.
	API string
	Out io.Writer
}

// Run runs the demo. It returns an error where a promise was broken.
func Run(ctx context.Context, o Options) error {
	dir, err := os.MkdirTemp("", "auburnpier-demo-")
	if err != nil {
		return errors.Wrap(err, "create a folder for the demo's keys")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	stands, err := platform.Start(platformOptions())
	if err != nil {
		return errors.Wrap(err, "start the stand-ins")
	}
	defer stands.Close()
	key, keyFile, err := operatorKey(dir)
	if err != nil {
		return err
	}
	instance, err := newInstance(o, stands, keyFile)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- instance.Run(ctx) }()
	url := "http://" + instance.APIAddress()
	e := &example{
		out: o.Out, stands: stands, url: url,
		operator: apiclient.New(url, key, http.DefaultTransport),
	}
	fmt.Fprintf(o.Out, "auburnpier demo: API on %s, stand-ins for the store, the VM list, %d workers and %d backend servers\n\n",
		url, len(stands.Workers), len(stands.Backends))
	broken := e.run(ctx)
	if !o.Once && ctx.Err() == nil {
		if err := e.invite(ctx, dir); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case err := <-ended:
			return err
		}
	}
	stop()
	if err := <-ended; err != nil {
		return err
	}
	if broken > 0 {
		return errors.Newf("%d promises were broken", broken)
	}
	return nil
}

func platformOptions() platform.Options {
	return platform.Options{
		Region: "lulea", Zones: []domain.ZoneID{"lulea-a", "lulea-b"},
		Workers: 8, WorkersPerRack: 2, Backends: 4,
		Capacity: domain.Resources{CPUMilli: 8000, MemoryMB: 32000},
		Slots:    8, MaxConnections: 60, Queues: []domain.QueueID{"counting", "public"},
		Work: 5 * time.Millisecond, ListLag: 100 * time.Millisecond,
	}
}

func operatorKey(dir string) (teamkey.Key, string, error) {
	key, err := teamkey.Generate(rand.Reader)
	if err != nil {
		return teamkey.Key{}, "", err
	}
	file := filepath.Join(dir, operatorKeyName)
	err = os.WriteFile(file, []byte(key.Reveal()+"\n"), 0o600)
	return key, file, errors.Wrap(err, "write the operator's key")
}

func newInstance(o Options, stands *platform.Platform, keyFile string) (*daemon.Instance, error) {
	s := settings.Default()
	s.Instance = "demo-1"
	s.Location = settings.Location{Region: "lulea", Zone: "lulea-a"}
	peers, err := loopback.FreeAddress()
	if err != nil {
		return nil, err
	}
	s.Listen = settings.Listen{API: o.API, Peers: peers}
	s.Store.Address = stands.StoreURL
	s.VMList.Address = stands.VMListURL
	s.VMList.PollMS = 250
	s.Bootstrap.KeyFile = keyFile
	s.Shutdown.BalancerDelayMS = 0
	s.Log.Level = "warn"
	log, err := daemon.NewLog(s.Log.Level, s.Instance)
	if err != nil {
		return nil, err
	}
	return daemon.New(s, log.WithOptions(zap.AddStacktrace(zap.FatalLevel)))
}
