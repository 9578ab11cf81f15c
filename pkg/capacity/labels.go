package capacity

import (
	"cmp"
	"slices"
	"strconv"

	"bamboowalk.org/bamboowalk/pkg/fleet"
)

// maxRoomLabels bounds the services that metrics name.
const maxRoomLabels = 16

// ServiceRoom is the Room of a service.
type ServiceRoom struct {
	Service fleet.ServiceID
	Room
}

// StepLabel returns the label of a step in metrics, which is its slowness.
func StepLabel(step uint8) string {
	return strconv.FormatFloat(slownessOf(step), 'g', 2, 64)
}

// LargestRooms returns the rooms of the services with the most slots, at most
// maxRoomLabels, so that the labels of metrics are bounded.
func LargestRooms(rooms map[fleet.ServiceID]Room) []ServiceRoom {
	list := make([]ServiceRoom, 0, len(rooms))
	for id, r := range rooms {
		list = append(list, ServiceRoom{id, r})
	}
	slices.SortFunc(list, func(a, b ServiceRoom) int {
		return cmp.Or(cmp.Compare(b.Slots, a.Slots), cmp.Compare(a.Service, b.Service))
	})
	return list[:min(len(list), maxRoomLabels)]
}
