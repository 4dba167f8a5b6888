package bbproxy

//go:generate enumer -type=newsWay -trimprefix=way -transform=kebab -output=newsway_enumer.go

// newsWay is the way by which an instance heard of targets or of a plan.
type newsWay int

const (
	// wayList and wayPoll are a listing or reading and a poll of the store.
	wayList newsWay = iota
	wayPoll
	// wayWatcher is a message of the failure domain's watcher, wayPeer the answer
	// of a peer that was asked.
	wayWatcher
	wayPeer
)
