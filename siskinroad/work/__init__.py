"""Scheduling of multi-step jobs on upstream hosts, coordinated through a store."""
