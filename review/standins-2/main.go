package main

import "os"

var cases = map[string]func(){}

func main() {
	if len(os.Args) == 2 {
		if play, ok := cases[os.Args[1]]; ok {
			play()
		}
	}
	cannot("name a case")
}
