"""Singleton duties: calls to a deployment's platform, made by one replica at a time."""
