"""A router fleet for client accounts who share capacity fairly."""
