package connguard

// peerConnectionShare is the share of the connections that peers may have, so that those of clients find room.
const peerConnectionShare = 0.5
