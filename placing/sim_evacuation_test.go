package placing

import (
	"maps"
	"slices"
	"time"
)

// maxEvacuationLag is the longest time until a leader reads of an evacuation.
const maxEvacuationLag = time.Second

// toggleEvacuation starts or ends the evacuation of one of the two zones; both may be
// evacuated. The leader reads it some time later, a new leader before its first pass.
func (s *simulation) toggleEvacuation() {
	s.recordFault()
	zone := s.incarnations[s.rng.IntN(len(s.incarnations))].entry.Zone
	if s.evacuated[zone] {
		delete(s.evacuated, zone)
	} else {
		s.evacuated[zone] = true
	}
	reader := s.leader
	s.schedule(time.Duration(s.rng.Int64N(int64(maxEvacuationLag))), func() {
		s.recordFault()
		s.readEvacuations(reader)
	})
}

// endEvacuations ends all evacuations.
func (s *simulation) endEvacuations() {
	s.recordFault()
	s.evacuated = map[string]bool{}
	s.readEvacuations(s.leader)
}

// readEvacuations passes the evacuated zones to a leader.
func (s *simulation) readEvacuations(l *modelLeader) {
	if l == nil {
		return
	}
	l.evacuated = maps.Clone(s.evacuated)
	l.engine.SetEvacuatedZones(slices.Sorted(maps.Keys(s.evacuated)), s.now)
}

// checkEvacuation checks that a leader sends no start to a zone after it has read of its
// evacuation.
func (s *simulation) checkEvacuation(l *modelLeader, start Start) {
	if worker := s.findWorker(start.Worker); l.evacuated[worker.entry.Zone] {
		s.violationf("%s run %d is started on %s, whose zone is evacuated", start.Task, start.Run, start.Worker)
	}
}
