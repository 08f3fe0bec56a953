// Command standin runs stand-ins for the platform and the targets.
package main

func main() {}
