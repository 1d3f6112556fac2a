"""Entry hosts of a routed deployment: they forward callers' requests to upstreams."""
