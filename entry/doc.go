// Package entry is filled in below its doc comment.
package entry
