// Package routing holds the configuration of the pass-through front: routes by
// host and longest path prefix, the services behind them, and limits on what a
// client may send. A Document is a whole configuration under a rising version;
// a Table is a Document made ready for look-ups. Both are immutable once made.
package routing
