// Command sapphirehaven is the daemon that runs on every host.
package main

func main() {}
