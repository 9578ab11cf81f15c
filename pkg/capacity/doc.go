// Package capacity estimates what the targets of a service can serve, from the
// measurements of all entry VMs. A single entry VM sees only a few requests per
// second, too few to tell a slow target from a long request or a flood from a
// short burst.
package capacity
