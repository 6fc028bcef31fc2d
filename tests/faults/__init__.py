"""The fault matrix: its cells as data, and the scenarios that test them."""
