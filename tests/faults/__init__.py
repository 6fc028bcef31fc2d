"""The fault matrix: cells as data, and the scenarios that prove them."""
