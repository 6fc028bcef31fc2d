"""Stand-ins, processes and records of the cases 11 to 15; standard library only."""
