// Package ringlog stores the last log lines of a process in memory and writes them
// out on a line of level error, on a signal, and on exit with an error. Otherwise a
// process writes no log.
package ringlog
