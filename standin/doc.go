// Package standin is filled in below its doc comment.
package standin
