// Package lab groups small simulators of the systems that yuccahatch talks to,
// and a load generator. These packages do not import the product's code, so that
// a fault in the product's codecs is not repeated in the simulators.
package lab
