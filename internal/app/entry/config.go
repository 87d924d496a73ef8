// Package entry serves callers at each instance: it proves keys against a
// configuration that is certainly recent, finds the queue of a call, and
// passes the call to the owner of the cell.
package entry

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"auburnpier/internal/ctxtime"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
	"auburnpier/internal/steady"
)

// Figures of the configuration's freshness.
const (
	// configWait is how long a watch waits; each answer proves that nothing newer was accepted.
	configWait = 1200 * time.Millisecond
	// configRetry is the pause after a call without an answer.
	configRetry = 150 * time.Millisecond
)

// Config is the configuration in force at this instance.
type Config struct {
	*port.CellConfig
	teams map[string]domain.TeamID
}

// ConfigKeeper follows the configuration.
type ConfigKeeper struct {
	source   port.ConfigSource
	log      *zap.Logger
	changed  func(*port.CellConfig)
	current  atomic.Pointer[Config]
	provenMS atomic.Int64
}

// NewConfigKeeper returns a keeper that tells changed each new configuration.
func NewConfigKeeper(source port.ConfigSource, log *zap.Logger, changed func(*port.CellConfig)) *ConfigKeeper {
	return &ConfigKeeper{source: source, log: log, changed: changed}
}

// Current returns the configuration, or nil before the first.
func (k *ConfigKeeper) Current() *Config { return k.current.Load() }

// Plain returns the configuration as it was read, or nil before the first.
func (k *ConfigKeeper) Plain() *port.CellConfig {
	if c := k.current.Load(); c != nil {
		return c.CellConfig
	}
	return nil
}

// AgeMS is how long ago the configuration was proven to be the newest.
func (k *ConfigKeeper) AgeMS() int64 { return steady.NowMS() - k.provenMS.Load() }

// Run follows the configuration until ctx ends.
func (k *ConfigKeeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		sentMS := steady.NowMS()
		config, revision, err := k.source.Read(ctx)
		var missing *port.NotFoundError
		if err != nil && !errors.As(err, &missing) {
			ctxtime.Sleep(ctx, configRetry)
			continue
		}
		if err == nil {
			k.apply(&config)
			k.provenMS.Store(sentMS)
		}
		k.follow(ctx, revision)
	}
}

func (k *ConfigKeeper) follow(ctx context.Context, revision int64) {
	for ctx.Err() == nil {
		sentMS := steady.NowMS()
		next, now, gap, err := k.source.WaitForChange(ctx, revision, configWait)
		if err != nil {
			ctxtime.Sleep(ctx, configRetry)
			continue
		}
		if gap {
			return
		}
		revision = now
		if next != nil {
			k.apply(next)
		}
		if k.current.Load() != nil {
			// The answer may have been under way for long, so only the call's time is proof.
			k.provenMS.Store(sentMS)
		}
	}
}

// apply puts a configuration in force unless a newer one is.
func (k *ConfigKeeper) apply(c *port.CellConfig) {
	old := k.current.Load()
	if old != nil && c.Version <= old.Version {
		return
	}
	next := &Config{CellConfig: c, teams: make(map[string]domain.TeamID)}
	for _, t := range c.Teams {
		for _, key := range t.Keys {
			next.teams[key] = t.ID
		}
	}
	k.current.Store(next)
	k.log.Info("configuration in force", zap.Uint64("version", c.Version), zap.Int("queues", len(c.Routes)), zap.Int("teams", len(c.Teams)))
	k.changed(c)
}

// Route finds the queue of a call: the longest prefix of the path under the
// host. Rest is the path after the prefix.
func (c *Config) Route(host, path string) (route *port.QueueRoute, rest string) {
	for i := range c.Routes {
		r := &c.Routes[i]
		if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.Prefix) && (route == nil || len(r.Prefix) > len(route.Prefix)) {
			route = r
		}
	}
	if route == nil {
		return nil, ""
	}
	return route, path[len(route.Prefix):]
}

// Queue returns the queue of that name, or nil.
func (c *Config) Queue(name domain.QueueID) *port.QueueRoute {
	for i := range c.Routes {
		if c.Routes[i].Queue.Name == name {
			return &c.Routes[i]
		}
	}
	return nil
}

// TeamOf returns the team that the key proves.
func (c *Config) TeamOf(key string) (domain.TeamID, bool) {
	t, ok := c.teams[key]
	return t, ok
}
