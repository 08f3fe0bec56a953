// Command sapphirectl is the command-line tool for operators.
package main

func main() {}
