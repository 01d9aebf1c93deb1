package main

import (
	"embed"
	"encoding/json"
	"net/netip"
	"strings"
	"text/template"
)

// wireFiles holds the platform's formats and names.
//
//go:embed wire
var wireFiles embed.FS

var templates = template.Must(template.ParseFS(wireFiles, "wire/*.tmpl"))

// names are the platform's paths and headers.
var names = readNames()

type nameList struct {
	Ready, Configuration, Evacuations, Instances string
	RequestHeader, SealHeader, SettingsVariable  string
}

func readNames() nameList {
	var list nameList
	text, err := wireFiles.ReadFile("wire/names.json")
	if err == nil {
		err = json.Unmarshal(text, &list)
	}
	if err != nil {
		panic(err)
	}
	return list
}

// render fills in a template.
func render(name string, values any) string {
	var text strings.Builder
	err := templates.ExecuteTemplate(&text, name, values)
	if err != nil {
		panic(err)
	}
	return text.String()
}

// routeSpec is a route of a configuration.
type routeSpec struct {
	Name    string
	At      netip.AddrPort
	Kind    string
	Service string
}

// configuration returns the body of a configuration. idleMs is the idle timeout of flows.
func configuration(version int, idleMs int64, services []string, routes []routeSpec) string {
	return render("configuration.json.tmpl", struct {
		Version  int
		IdleMs   int64
		Services []string
		Routes   []routeSpec
	}{version, idleMs, services, routes})
}

// heartbeatBody is what a heartbeat says.
type heartbeatBody struct {
	Service string
	Address netip.AddrPort
	Zone    string
	Slots   int
	State   string
	Seq     int
	Born    int64
}

func (h heartbeatBody) String() string { return render("heartbeat.json.tmpl", h) }
