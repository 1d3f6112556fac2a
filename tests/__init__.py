"""Tests of medlarfork, one module for each module tested."""
