//go:build !cgo

package signals

// restoreHangup does nothing: without cgo, SIGHUP has its default effect until
// this package is initialised.
func restoreHangup() {}
