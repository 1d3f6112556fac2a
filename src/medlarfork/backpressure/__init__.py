"""What upstreams ask for in their answers: rate limits, pauses, and that they are leaving."""
