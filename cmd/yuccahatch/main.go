// Command yuccahatch is the command line for operators and experimenters.
package main

func main() {}
