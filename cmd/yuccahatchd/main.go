// Command yuccahatchd is the node of yuccahatch that runs on each entry host.
package main

func main() {}
