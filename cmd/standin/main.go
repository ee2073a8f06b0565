// Command standin runs stand-ins of the systems that almondbay meets.
package main

func main() {
}
