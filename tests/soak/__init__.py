"""Randomized soak test of real processes: injects external faults and checks externally visible guarantees."""
