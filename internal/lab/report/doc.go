// Package report shows the results of an experiment: tables as text, and one
// HTML page with tables and plots that needs no other file.
//
// Every number comes from the results alone, so a report can be made again from
// a results file. Where a physical limit is known it stands beside the result,
// with the ratio of the two.
package report
