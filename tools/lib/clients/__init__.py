"""Clients outside the limits of the configuration, against a real node; see __main__.py."""
