// Package balancer is the decision core of an entry VM: it takes decoded
// packets and the present time and returns actions. It uses no sockets and
// reads no clock. One Balancer is used by one goroutine only.
package balancer
