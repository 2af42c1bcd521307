// Package agent is filled in below its doc comment.
package agent
