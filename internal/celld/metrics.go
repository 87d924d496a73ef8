package celld

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"auburnpier/internal/ctxtime"
)

// serveMetrics serves the metrics in the Prometheus text format, one sample per line.
func (i *Instance) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	i.updateGauges()
	var lines []string
	i.metrics.Underlying().Each(func(name string, m any) { lines = append(lines, formatSamples(name, m)...) })
	sort.Strings(lines)
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	// The only possible error is that the scraper disconnected.
	_, _ = fmt.Fprintln(w, strings.Join(lines, "\n"))
}

// updateGauges sets the gauges whose values are computed at the time of a scrape.
func (i *Instance) updateGauges() {
	ownership := i.directory.Ownership()
	isOwner, epoch := int64(0), int64(0)
	if ownership.Local != nil {
		isOwner = 1
	}
	if ownership.Claim != nil {
		epoch = ownership.Claim.Epoch
	}
	i.metrics.Gauge("cell.owner").Update(isOwner)
	i.metrics.Gauge("cell.epoch").Update(epoch)
	i.metrics.Gauge("config.age_ms").Update(i.config.AgeMS())
	if c := i.config.CellConfig(); c != nil {
		i.metrics.Gauge("config.version").Update(int64(c.Version))
	}
	i.metrics.Gauge("store.age_ms").Update(i.store.LastResponseAgeMS())
	i.metrics.Gauge("log.dropped").Update(i.logs.Dropped())
	i.metrics.Gauge("log.sampled_out").Update(i.logs.SampledOut())
}

// summaryInterval is the interval at which metrics are logged, for deployments without a scraper.
const summaryInterval = 10 * time.Second

// logSummaries periodically logs the counters that are not zero, and the count and
// 99th percentile of each timer in use, until ctx ends.
func (i *Instance) logSummaries(ctx context.Context) {
	ctxtime.Every(ctx, summaryInterval, func() {
		fields := []zap.Field{zap.Int64("config_age_ms", i.config.AgeMS()), zap.Bool("owner", i.directory.Ownership().Local != nil)}
		i.metrics.Underlying().Each(func(name string, m any) {
			switch v := m.(type) {
			case gometrics.Counter:
				if v.Count() > 0 {
					fields = append(fields, zap.Int64(name, v.Count()))
				}
			case gometrics.Timer:
				if v.Count() > 0 {
					fields = append(fields, zap.Int64(name, v.Count()), zap.Float64(name+".p99_ms", v.Percentile(0.99)/1e6))
				}
			}
		})
		i.log.Info("summary", fields...)
	})
}

var quantiles = []float64{0.5, 0.99}

// formatSamples formats one metric in the Prometheus text format.
func formatSamples(name string, m any) []string {
	name = "auburnpier_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
	switch v := m.(type) {
	case gometrics.Counter:
		return []string{fmt.Sprintf("%s_total %d", name, v.Count())}
	case gometrics.Gauge:
		return []string{fmt.Sprintf("%s %d", name, v.Value())}
	case gometrics.Timer:
		lines := []string{fmt.Sprintf("%s_seconds_count %d", name, v.Count())}
		for k, value := range v.Percentiles(quantiles) {
			lines = append(lines, fmt.Sprintf("%s_seconds{quantile=%q} %g", name, fmt.Sprint(quantiles[k]), value/1e9))
		}
		return lines
	}
	return nil
}
