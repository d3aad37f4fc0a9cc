"""Benchmarks, fault injection and their shared test environment; not shipped."""
