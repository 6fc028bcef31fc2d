"""Randomized soak: real nodes as processes, and faults injected from outside."""
