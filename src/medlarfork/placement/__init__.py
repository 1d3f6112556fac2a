"""Placement of requests by a shard's owner: which upstream runs each, when, or not at all."""
