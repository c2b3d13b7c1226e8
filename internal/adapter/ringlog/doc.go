// Package ringlog keeps the last log lines of a process in memory and writes
// them out when something goes wrong: on a line of level error, on a signal,
// and on exit with an error. In quiet operation a process writes no log.
package ringlog
