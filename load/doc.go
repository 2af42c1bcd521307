// Package load is filled in below its doc comment.
package load
