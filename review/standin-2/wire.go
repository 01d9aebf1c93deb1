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

// names are the platform's paths, headers and variables.
var names = readNames()

type nameList struct {
	Ready, Configuration, Evacuations, Instances string
	RequestHeader, SealHeader, SettingsVariable  string
	// LeftOut lists the fields that an incomplete heartbeat lacks.
	LeftOut []string
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

// render returns the text of a template.
func render(name string, values any) (string, error) {
	var text strings.Builder
	err := templates.ExecuteTemplate(&text, name, values)
	return strings.TrimSpace(text.String()), err
}

// heartbeat is what a target says of itself.
type heartbeat struct {
	Service, Zone, State string
	Address              netip.AddrPort
	Slots, Number        int
	Born                 int64
}

// body returns the heartbeat's body.
func (h heartbeat) body() (string, error) { return render("heartbeat.json.tmpl", h) }

// incomplete returns the body of a heartbeat without the fields that names.LeftOut lists.
func incomplete(body string) (string, error) {
	var fields map[string]json.RawMessage
	err := json.Unmarshal([]byte(body), &fields)
	if err != nil {
		return "", err
	}
	for _, name := range names.LeftOut {
		delete(fields, name)
	}
	rest, err := json.Marshal(fields)
	return string(rest), err
}

// configuration is what the operator submits.
type configuration struct {
	Version     int
	Routes      []routeEntry
	IdleTimeout int64
}

type routeEntry struct {
	Service string
	Host    netip.Addr
	Port    uint16
}

func (c configuration) body() (string, error) { return render("configuration.json.tmpl", c) }

// settings is what a process's settings file says.
type settings struct {
	Name, Class, Serves, Zone, Service, Data string
	Address                                  netip.Addr
	FirstPort, LastPort                      uint16
	Seeds                                    []netip.AddrPort
	Bootstrap                                bool
	HeartbeatMs                              int64
	Zones                                    []string
	Packets, Outbound, Ready, Control, App   netip.AddrPort
}

func (s settings) file() (string, error) { return render("settings.toml.tmpl", s) }
