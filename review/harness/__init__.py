"""Stand-ins and helpers for the cases of the review; standard library only."""
