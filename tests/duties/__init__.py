"""Tests of singleton duties."""
