"""Links between processes over ZeroMQ: messages, keys and sockets."""
