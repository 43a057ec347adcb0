// Package claimpb holds the log records of package claim. To regenerate it, run "buf generate" in
// this directory.
package claimpb
