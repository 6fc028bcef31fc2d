"""Stand-ins and helpers of the scripts of the second review; standard library only."""
