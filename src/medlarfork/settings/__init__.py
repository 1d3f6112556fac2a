"""Settings files of the programs: parsing, type conversion and reporting of all mistakes."""
