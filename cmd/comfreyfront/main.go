// Command comfreyfront is the rollout service: the entry process and the
// operator's commands.
package main

func main() {}
