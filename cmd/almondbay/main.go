// Command almondbay runs a node of the system and is the operator's client.
package main

func main() {
}
