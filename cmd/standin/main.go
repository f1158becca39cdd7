// Command standin runs small stand-ins for the systems around comfreyfront,
// for tests and the demonstration. It is not shipped.
package main

func main() {}
