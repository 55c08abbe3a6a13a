"""Randomized soak of real processes: faults come from outside, promises are checked from outside."""
