"""The adapter to the users' platform: names, formats and calls.

It takes no decisions. The platform's names are decoded here, into the
product's own types, and appear nowhere else.
"""
