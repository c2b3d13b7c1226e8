// Package routing holds the configuration of the pass-through front: routes by host
// and longest path prefix, the services behind them, and limits on client requests. A
// Document is a complete configuration with an increasing version; a Table indexes a
// Document for lookups. Both are immutable once created.
package routing
