"""In-memory stand-ins for the external systems, for tests, benchmarks and the demo.

The package ``chivespan`` never imports them.
"""
