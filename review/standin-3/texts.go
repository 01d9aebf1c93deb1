package main

import (
	"embed"
	"strings"
	"text/template"
)

// The texts hold the names that the platform's pages give to settings, fields and calls.
//
//go:embed texts/*.txt
var texts embed.FS

var templates = template.Must(template.ParseFS(texts, "texts/settings.txt", "texts/configuration.txt", "texts/announcement.txt"))

// render fills in one of the templates.
func render(name string, data any) string {
	var text strings.Builder
	if err := templates.ExecuteTemplate(&text, name+".txt", data); err != nil {
		panic(err)
	}
	return strings.TrimRight(text.String(), "\n") + "\n"
}

// names maps the stand-ins' words to names of the platform.
var names = readNames()

func readNames() map[string]string {
	data, err := texts.ReadFile("texts/names.txt")
	if err != nil {
		panic(err)
	}
	found := map[string]string{}
	for line := range strings.Lines(string(data)) {
		word, name, _ := strings.Cut(strings.TrimSpace(line), " ")
		found[word] = name
	}
	return found
}
