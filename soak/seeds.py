"""Runs that broke a promise by a real fault: its cause by seed, seconds and processes."""

PAUSED_STOP = (
    "a stop took a pause, or a lack of processor time, for quiet: unread requests were lost"
)
NO_TIME_LEFT = "a pause used up the time of a request, and its connection got a negative limit"
WAITED = "what waited for a slot did not know of the end of its node, and was cut with it"
PEER_STOOD_STILL = (
    "what waited beside a VM that stood still was cut at the end of its own node's time"
)
REGRESSIONS = {
    **dict.fromkeys([(117, 15.0, 5), (208, 30.0, 6), (214, 30.0, 6)], PAUSED_STOP),
    (319, 15.0, 5): NO_TIME_LEFT,
    (1, 15.0, 5): WAITED,
    (712, 15.0, 5): PEER_STOOD_STILL,
}
