package hostnode

import (
	"flamingoreach/core/request"
	"flamingoreach/io/decisionlog"
	"flamingoreach/io/room"
)

// roomLinesPerSecond bounds the log lines about clients that give way and about answers that are cut, each.
const roomLinesPerSecond = 2

// setUpRoom creates the room for all that is held for clients.
func (nod *Node) setUpRoom() {
	nod.room = room.New(roomBytes(nod.settings.MemoryBytes))
	lines := decisionlog.New(nod.log, roomLinesPerSecond)
	nod.room.OnGiveWay = func(kind string, held, used, most int64) {
		lines.Write("client gives way", "limit", "clientRoom", "bytes", most, "used", used, "kind", kind, "held", held)
	}
	nod.cutLog = decisionlog.New(nod.log, roomLinesPerSecond)
	nod.peerServer.Bodies = nod.room
	nod.metrics.Gauge("client_room_bytes", func() float64 { return float64(nod.room.Max()) })
	nod.metrics.Gauge("client_room_used_bytes", func() float64 { return float64(nod.room.Used()) })
	nod.metrics.Gauge("client_room_gave_way", func() float64 { return float64(nod.room.GaveWay()) })
	nod.metrics.Gauge("answers_cut", func() float64 { return float64(nod.answersCut.Load()) })
}

// roomBytes returns the size of the room in a process that may use the given number of bytes.
func roomBytes(memoryBytes int64) int64 { return memoryBytes * roomNumerator / roomDivisor }

// Room returns the room for all that is held for clients.
func (nod *Node) Room() *room.Room { return nod.room }

// RecordCut logs and counts an answer whose connection was ended before its last byte was written.
func (nod *Node) RecordCut(req request.Request, held int64) {
	nod.answersCut.Add(1)
	nod.cutLog.Write("answer cut", "requestId", req.ID, "path", req.Path, "held", held, "used", nod.room.Used(), "bytes", nod.room.Max())
}
