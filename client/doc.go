// Package client is filled in below its doc comment.
package client
