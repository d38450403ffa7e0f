// Package api groups the packages that define the JSON types of the published
// HTTP protocols. These packages contain types and constants and keep no state.
package api
