// Package api is the root of the packages with the JSON types of the published
// HTTP protocols. They hold types only.
package api
