package admission

import "bamboowalk.org/bamboowalk/pkg/fleet"

// Pool divides a bounded resource of an entry VM, such as bytes of held packets
// or flow records, between teams. An allocation that fits into the pool is
// granted in two cases: if the team then holds no more units than remain free
// (dynamic threshold), or if the team then holds at most total/(n+1) units,
// where n is the number of teams that then hold units. A team may thus hold more
// than an equal part while the other teams use little.
type Pool struct {
	total int
	used  int
	teams map[fleet.TeamName]int
}

// NewPool returns a pool of total units.
func NewPool(total int) *Pool {
	return &Pool{total: total, teams: make(map[fleet.TeamName]int)}
}

// Take allocates n units to the team and reports whether the allocation was
// granted.
func (p *Pool) Take(team fleet.TeamName, n int) bool {
	held := p.teams[team]
	free := p.total - p.used - n
	if free < 0 {
		return false
	}
	holders := len(p.teams)
	if held == 0 {
		holders++
	}
	if held+n > free && held+n > p.total/(holders+1) {
		return false
	}
	p.teams[team] = held + n
	p.used += n
	return true
}

// Give releases n units of the team, or all that it holds if that is less.
func (p *Pool) Give(team fleet.TeamName, n int) {
	held := p.teams[team]
	n = min(n, held)
	p.used -= n
	if held == n {
		delete(p.teams, team)
		return
	}
	p.teams[team] = held - n
}

// Used returns the number of units that all teams hold.
func (p *Pool) Used() int { return p.used }
