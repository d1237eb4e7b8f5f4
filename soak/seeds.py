"""Runs that found a real fault of the nodes: its cause by seed, seconds and processes."""

PAUSED_STOP = (
    "a stopping node mistook a pause or a lack of CPU time for idleness and lost unread requests"
)
NO_TIME_LEFT = (
    "a pause used up the deadline of a request, and its connection got a negative timeout"
)
QUEUED_REQUEST_CUT = (
    "requests queued for a slot were not told of their node's shutdown, and were cut by it"
)
PEER_PAUSED = "requests queued at a paused VM were cut at the stop limit of their own node"
REGRESSIONS = {
    **dict.fromkeys([(117, 15.0, 5), (208, 30.0, 6), (214, 30.0, 6)], PAUSED_STOP),
    (319, 15.0, 5): NO_TIME_LEFT,
    (1, 15.0, 5): QUEUED_REQUEST_CUT,
    (712, 15.0, 5): PEER_PAUSED,
}
