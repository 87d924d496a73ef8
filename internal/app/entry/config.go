// Package entry handles client calls at each instance: it authenticates keys
// against a configuration whose freshness is bounded, routes each call to its
// queue, and forwards the call to the owner of the cell.
package entry

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"auburnpier/internal/ctxtime"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
	"auburnpier/internal/steady"
)

const (
	// configWatchWait is the long-poll duration of a configuration watch. Each response, also an
	// empty one, confirms that no newer configuration had been accepted when the call was sent.
	configWatchWait = time.Second
	// configWatchMargin is how late after its wait the response to a watch may begin, and how long its
	// transfer may pause. A slow store answers within 400 ms. One lost response leaves the
	// configuration unconfirmed for no more than twice the wait and this margin. The transfer as a
	// whole is not bounded: a configuration of 1 MB takes more than a second on a narrow link.
	configWatchMargin = 600 * time.Millisecond
	// slowTransfer is the transfer time of a configuration after which the newest one is read next. A
	// watch returns every version since its revision, so an instance that transfers a version for
	// longer than operators take to write the next one would fall further behind with each watch.
	slowTransfer = 300 * time.Millisecond
	// configRetryDelay is the delay after a failed read or watch.
	configRetryDelay = 150 * time.Millisecond
)

// Config is the configuration in force at this instance, indexed by API key.
type Config struct {
	*port.CellConfig
	teams map[string]domain.TeamID
}

// ConfigWatcher watches the configuration source and holds the configuration in force.
type ConfigWatcher struct {
	source   port.ConfigSource
	log      *zap.Logger
	metrics  *metrics.Registry
	onChange func(*port.CellConfig)
	current  atomic.Pointer[Config]
	// confirmedMS is the monotonic send time of the latest call that confirmed the configuration.
	confirmedMS atomic.Int64
	// evacuated is used only by Run.
	evacuated map[domain.ZoneID]bool
	// nowMS returns the steady time. Tests with virtual time replace it.
	nowMS func() int64
}

// NewConfigWatcher returns a watcher that calls onChange with each new configuration and with each
// change of the evacuated zones.
func NewConfigWatcher(source port.ConfigSource, log *zap.Logger, m *metrics.Registry, onChange func(*port.CellConfig)) *ConfigWatcher {
	return &ConfigWatcher{source: source, log: log, metrics: m, onChange: onChange, nowMS: steady.NowMS}
}

// Current returns the configuration, or nil before the first one was read.
func (w *ConfigWatcher) Current() *Config { return w.current.Load() }

// CellConfig returns the configuration without its key index, or nil before the first one was read.
func (w *ConfigWatcher) CellConfig() *port.CellConfig {
	if c := w.current.Load(); c != nil {
		return c.CellConfig
	}
	return nil
}

// AgeMS returns the time since the configuration and the evacuated zones were last confirmed to be
// the newest.
func (w *ConfigWatcher) AgeMS() int64 { return w.nowMS() - w.confirmedMS.Load() }

// Run reads and watches the configuration until ctx ends.
func (w *ConfigWatcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		sentAtMS := w.nowMS()
		config, revision, err := w.source.Read(ctx)
		var missing *port.NotFoundError
		if err != nil && !errors.As(err, &missing) {
			w.log.Warn("failed to read the configuration", zap.Duration("retry_after", configRetryDelay), zap.Error(err))
			ctxtime.Sleep(ctx, configRetryDelay)
			continue
		}
		w.evacuated = make(map[domain.ZoneID]bool)
		for _, zone := range config.EvacuatedZones {
			w.evacuated[zone] = true
		}
		if err == nil {
			newer := w.apply(&config)
			w.confirmedMS.Store(sentAtMS)
			if newer && w.nowMS()-sentAtMS > slowTransfer.Milliseconds() {
				continue
			}
		}
		w.watch(ctx, revision)
	}
}

// watch applies the changes after revision. It returns on a gap in the watch and after a slow transfer
// of a configuration, after which the newest one must be read, and when ctx ends.
func (w *ConfigWatcher) watch(ctx context.Context, revision int64) {
	unreadable := false
	wait := configWatchWait
	for ctx.Err() == nil {
		sentAtMS := w.nowMS()
		change, err := w.waitForChange(ctx, revision, wait)
		if err != nil {
			w.reportFailure(ctx, sentAtMS, err)
			// The next call returns at once, since the configuration has not been confirmed for long.
			wait = 0
			ctxtime.Sleep(ctx, configRetryDelay)
			continue
		}
		wait = configWatchWait
		if change.Gap {
			return
		}
		revision = change.Revision
		w.applyChange(change)
		switch {
		case change.Unreadable != nil:
			// Authenticating keys against the former configuration could accept a withdrawn one.
			unreadable = true
			w.log.Error("the newest configuration cannot be decoded; the former one stays in force and is no longer confirmed",
				zap.Int64("revision", revision), zap.Error(change.Unreadable))
		case change.Config != nil:
			unreadable = false
		}
		if w.current.Load() != nil && !unreadable {
			// The response may have been delayed, so it confirms the configuration only as of
			// the time the call was sent.
			w.confirmedMS.Store(sentAtMS)
		}
		if change.Config != nil && change.Transfer > slowTransfer {
			return
		}
	}
}

// reportFailure logs and counts a failed watch. A response that was cut off is counted apart from one
// that never began: the first is a matter of its size or of the connection, the second of the store.
func (w *ConfigWatcher) reportFailure(ctx context.Context, sentAtMS int64, err error) {
	if ctx.Err() != nil {
		return
	}
	result := "unanswered"
	var incomplete *port.IncompleteResponseError
	if errors.As(err, &incomplete) {
		result = "incomplete"
	}
	w.metrics.Counter("config.watch." + result).Inc(1)
	w.log.Warn("configuration watch failed", zap.String("result", result), zap.Int64("took_ms", w.nowMS()-sentAtMS),
		zap.Int64("config_age_ms", w.AgeMS()), zap.Error(err))
}

func (w *ConfigWatcher) waitForChange(ctx context.Context, revision int64, wait time.Duration) (port.ConfigChange, error) {
	ctx, cancel := ctxtime.WithStallTimeout(ctx, wait+configWatchMargin, configWatchMargin)
	defer cancel()
	return w.source.WaitForChange(ctx, revision, wait)
}

// applyChange applies a newer configuration and changes of the evacuated zones.
func (w *ConfigWatcher) applyChange(change port.ConfigChange) {
	for zone, begun := range change.Evacuated {
		if begun {
			w.evacuated[zone] = true
		} else {
			delete(w.evacuated, zone)
		}
	}
	if change.Config != nil {
		w.apply(change.Config)
	} else if c := w.CellConfig(); c != nil && len(change.Evacuated) > 0 {
		w.apply(c)
	}
}

// apply puts a configuration in force with the zones that are evacuated now, and reports whether it is
// newer than the present one. An older one is ignored.
func (w *ConfigWatcher) apply(c *port.CellConfig) (newer bool) {
	old := w.current.Load()
	newer = old == nil || c.Version > old.Version
	if !newer {
		// The evacuated zones may still have changed.
		c = old.CellConfig
	}
	zones := slices.Sorted(maps.Keys(w.evacuated))
	if !newer && slices.Equal(zones, old.EvacuatedZones) {
		return false
	}
	config := *c
	config.EvacuatedZones = zones
	next := &Config{CellConfig: &config, teams: make(map[string]domain.TeamID)}
	for _, t := range c.Teams {
		for _, key := range t.Keys {
			next.teams[key] = t.ID
		}
	}
	w.current.Store(next)
	w.log.Info("configuration in force", zap.Uint64("version", c.Version), zap.Int("queues", len(c.Routes)), zap.Int("teams", len(c.Teams)),
		zap.Any("evacuated_zones", zones))
	w.onChange(&config)
	return newer
}

// Route finds the queue of a call by the longest path prefix configured for the host. rest is the
// path after the prefix.
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

// Queue returns the route of the named queue, or nil.
func (c *Config) Queue(name domain.QueueID) *port.QueueRoute {
	for i := range c.Routes {
		if c.Routes[i].Queue.Name == name {
			return &c.Routes[i]
		}
	}
	return nil
}

// TeamOf returns the team that the key belongs to.
func (c *Config) TeamOf(key string) (domain.TeamID, bool) {
	t, ok := c.teams[key]
	return t, ok
}
