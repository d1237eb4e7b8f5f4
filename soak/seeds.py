"""Runs that broke a promise by a real fault: its cause by seed, seconds and processes."""

PAUSED_STOP = (
    "a stop took a pause, or a lack of processor time, for quiet: unread requests were lost"
)
NO_TIME_LEFT = "a pause used up the time of a request, and its connection got a negative limit"
REGRESSIONS = {
    **dict.fromkeys([(117, 15.0, 5), (208, 30.0, 6), (214, 30.0, 6)], PAUSED_STOP),
    (319, 15.0, 5): NO_TIME_LEFT,
}
