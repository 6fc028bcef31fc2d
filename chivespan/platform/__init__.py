"""Adapter to the platform on which chivespan is deployed: names, formats and calls.

The modules only translate and make no decisions: they decode the platform's data into
chivespan's types, and encode chivespan's data in the platform's formats.
"""
