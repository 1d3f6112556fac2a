"""Settings files of the programs: reading them and reporting every mistake in them."""
