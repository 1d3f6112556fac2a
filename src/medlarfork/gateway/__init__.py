"""Entry hosts of a routed deployment: from a caller's request to the upstream's answer."""
