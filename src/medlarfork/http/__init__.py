"""HTTP/1.1 under curio: server, client, connections and server-sent events."""
