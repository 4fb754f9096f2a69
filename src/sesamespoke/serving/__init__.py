"""Routed services: requests chosen by host and path, served by engines."""
