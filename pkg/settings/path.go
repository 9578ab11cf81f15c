package settings

import (
	"strings"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// Classes of documents, which are determined by their paths.
const (
	// ClassService documents have the path /Teams/TEAM/Services/NAME.
	ClassService Class = "Service"
	// ClassListener documents have the path /Teams/TEAM/Listeners/NAME.
	ClassListener Class = "Listener"
	// ClassZone documents have the path /Zones/NAME.
	ClassZone Class = "Zone"
	// ClassAccess documents have the path /Access/NAME.
	ClassAccess Class = "Access"
)

const maxNameLength = 63

type (
	// Path names one document, such as "/Zones/Monza".
	Path string
	// Class is the type of a document.
	Class string
)

// ParsePath validates a path; it returns a PathError if no document can have
// the path.
func ParsePath(s string) (Path, error) {
	if !strings.HasPrefix(s, "/") {
		return "", &PathError{Path: s, Reason: "must start with /"}
	}
	parts := strings.Split(s[1:], "/")
	for _, name := range parts {
		if !validName(name) {
			return "", &PathError{Path: s, Reason: "each name must be 1 to 63 letters, digits, - or _"}
		}
	}
	p := Path(s)
	if p.Class() == "" {
		return "", &PathError{Path: s, Reason: "must be /Teams/TEAM/Services/NAME, /Teams/TEAM/Listeners/NAME, /Zones/NAME or /Access/NAME"}
	}
	return p, nil
}

// Class returns the class that the form of the path determines, or "" if no
// class has paths of this form. It does not validate the names in the path.
func (p Path) Class() Class {
	parts := strings.Split(string(p), "/")
	switch {
	case len(parts) == 5 && parts[1] == "Teams" && parts[3] == "Services":
		return ClassService
	case len(parts) == 5 && parts[1] == "Teams" && parts[3] == "Listeners":
		return ClassListener
	case len(parts) == 3 && parts[1] == "Zones":
		return ClassZone
	case len(parts) == 3 && parts[1] == "Access":
		return ClassAccess
	}
	return ""
}

// Name returns the last part of the path.
func (p Path) Name() string { return string(p)[strings.LastIndexByte(string(p), '/')+1:] }

// Team returns the team that owns the path, or "" for paths outside /Teams,
// which belong to the operators.
func (p Path) Team() fleet.TeamName {
	rest, ok := strings.CutPrefix(string(p), "/Teams/")
	if !ok {
		return ""
	}
	team, _, _ := strings.Cut(rest, "/")
	return fleet.TeamName(team)
}

// Service returns the id of the service that a service document describes.
func (p Path) Service() fleet.ServiceID { return serviceID(p.Team(), p.Name()) }

// HasPrefix reports whether the path equals prefix or is below it.
func (p Path) HasPrefix(prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	return string(p) == prefix || strings.HasPrefix(string(p), prefix+"/")
}

func serviceID(team fleet.TeamName, name string) fleet.ServiceID {
	return fleet.ServiceID(string(team) + "/" + name)
}

func servicePath(team fleet.TeamName, name string) Path {
	return Path("/Teams/" + string(team) + "/Services/" + name)
}

func validName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for _, r := range name {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		if !letter && (r < '0' || r > '9') && r != '-' && r != '_' {
			return false
		}
	}
	return true
}
