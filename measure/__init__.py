"""Measure the policy and the parts; `make measure` runs everything here."""
