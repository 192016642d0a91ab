// Package coltscrowd contains the tests that open many unfinished requests at real processes.
package coltscrowd
