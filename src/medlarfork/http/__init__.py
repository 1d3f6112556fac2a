"""HTTP/1.1 under curio: server, client, connections and streams of events."""
