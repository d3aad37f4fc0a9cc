"""Benches, the fault driver and what they share; not part of the product."""
