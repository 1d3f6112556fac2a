"""The entry host: its node, which wires the filters and the pools, and its program."""
