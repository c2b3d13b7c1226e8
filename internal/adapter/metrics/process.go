package metrics

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const namespace = "loomgrade"

// newRegistry returns a registry with the process and runtime metrics.
func newRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return registry
}

func handlerOf(registry *prometheus.Registry) http.Handler {
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes})
}

// maxScrapes limits concurrent collections.
const maxScrapes = 4

// Label direction and its values.
const (
	labelDirection    = "direction"
	directionSent     = "sent"
	directionReceived = "received"
)

// countBytes registers two counters whose values are read at collection.
func countBytes(registry *prometheus.Registry, name, help string, read func() (sent, received uint64)) {
	pick := map[string]func() uint64{
		directionSent:     func() uint64 { sent, _ := read(); return sent },
		directionReceived: func() uint64 { _, received := read(); return received },
	}
	for direction, value := range pick {
		options := prometheus.CounterOpts{
			Namespace: namespace, Name: name, Help: help,
			ConstLabels: prometheus.Labels{labelDirection: direction},
		}
		registry.MustRegister(prometheus.NewCounterFunc(options, func() float64 { return float64(value()) }))
	}
}
