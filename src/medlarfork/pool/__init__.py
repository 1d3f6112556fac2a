"""Pools of upstreams: one pool's owner decides who starts next, and where."""
