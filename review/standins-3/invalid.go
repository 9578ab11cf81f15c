package main

import (
	"fmt"
	"net/http"
	"strings"
)

// The case "invalid": the operator sends a configuration in which a route names an unknown
// service.
func playInvalid(w *world, trouble bool) result {
	w.contracts = []string{"base", "drain", "config", "cost", "recover", "flows"}
	if err := w.start(); err != nil {
		return result{err: err}
	}
	if status := w.put(w.config(7, w.route("r-a", 443, `"service":"svc-a"`))); status != http.StatusOK {
		return result{err: fmt.Errorf("the valid configuration got %d", status)}
	}
	if !trouble {
		return result{}
	}
	const split = `"service":"svc-a","split":[{"service":"svc-a","weight":90},{"service":"svc-unknown","weight":10}]`
	res := result{}
	status := w.put(w.config(9, w.route("r-a", 443, split)))
	if status == http.StatusOK {
		res.broken = append(res.broken, "CONFIG: a configuration with a route that names an unknown service is acknowledged")
	}
	read, text, _ := w.call(http.MethodGet, "/config/get", "", 0, startTime)
	w.rec.printf("operator: GET -> %d %s", read, text)
	if read == http.StatusOK && strings.Contains(text, "svc-unknown") {
		res.broken = append(res.broken, "CONFIG: the invalid configuration is in force")
	}
	return res
}
