"""Configuration that operators declare in a file: model, file format, validation and deltas."""
