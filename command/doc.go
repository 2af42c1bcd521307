// Package command is filled in below its doc comment.
package command
