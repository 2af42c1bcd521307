// Package placement is filled in below its doc comment.
package placement
