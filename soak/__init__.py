"""Randomized fault soak: the real daemons as processes between stand-ins, faults from outside."""
