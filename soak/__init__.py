"""Randomized fault soak: real daemon processes with stand-ins of the store and the engines."""
