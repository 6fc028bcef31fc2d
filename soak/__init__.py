"""Randomized soak tests that run real node processes and inject external faults."""
