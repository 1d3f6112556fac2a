"""The configuration that operators declare in a file: its model, checks and differences."""
