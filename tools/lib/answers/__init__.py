"""Broken answers of backend servers and of the store against a real node; see __main__.py."""
