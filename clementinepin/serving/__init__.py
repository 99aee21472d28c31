"""Serving of callers on the users' platform: routes, streams, jobs and the callers' directory."""
