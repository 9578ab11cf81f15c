package admission

import "bamboowalk.org/bamboowalk/pkg/fleet"

// Pool divides a bounded resource of an entry VM, such as bytes of held
// packets or flow records, between teams. A team may take more than its equal
// part while the others leave room: an allocation is granted while, after it,
// the team holds no more than is still free (dynamic threshold), or no more
// than its equal part of the total and something is free.
type Pool struct {
	total int
	used  int
	teams map[fleet.TeamName]int
}

// NewPool returns a pool of the given size.
func NewPool(total int) *Pool {
	return &Pool{total: total, teams: make(map[fleet.TeamName]int)}
}

// Take takes n units for the team and reports whether it may.
func (p *Pool) Take(team fleet.TeamName, n int) bool {
	held := p.teams[team]
	free := p.total - p.used - n
	if free < 0 {
		return false
	}
	others := len(p.teams)
	if held == 0 {
		others++
	}
	if held+n > free && held+n > p.total/(others+1) {
		return false
	}
	p.teams[team] = held + n
	p.used += n
	return true
}

// Give returns n units of the team.
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

// Used returns the units that all teams hold.
func (p *Pool) Used() int { return p.used }
