// Package report renders the results of an experiment: tables as text, and a
// self-contained HTML page with tables and plots.
//
// A report depends only on the results, so it can be rebuilt from a results file. Known
// physical limits are listed next to the results, with the ratio of the two.
package report
