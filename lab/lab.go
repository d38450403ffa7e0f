// Package lab holds small stand-ins for the systems that yuccahatch talks to,
// and a tool that puts load on them. It does not import the product, so that a
// fault in the product's codecs is not repeated in the stand-ins.
package lab
