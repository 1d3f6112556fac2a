"""Singleton duties: calls to a deployment's platform that one replica at a time has to make."""
