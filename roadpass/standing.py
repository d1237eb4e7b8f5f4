"""Standing of a request: its order among the requests of one traffic class, the smallest first."""

CALL = 0
"""The call of a request that runs at a target: it goes first, since its parent holds a slot until
it is answered."""
FRESH = 1
"""Other work, if its customer is within its share or shares are not kept."""
ABOVE_SHARE = 2
"""Work of a customer that is above its share. It uses room that nobody else wants."""
