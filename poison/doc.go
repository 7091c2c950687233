// Package poison knows requests by their content, so that one that ends the servers which
// run it is known again when it comes under another ID or through another gateway.
package poison
