"""The adapter to the users' platform: names, formats and calls.

Nothing here decides. Words of the platform are decoded once, into the
product's own types, and appear nowhere else.
"""
