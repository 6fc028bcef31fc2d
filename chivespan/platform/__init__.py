"""The adapter to the users' platform: its names, formats and calls.

Nothing here decides anything. What the platform sends is decoded into the product's
own types, and what the product says is written in the platform's form.
"""
