"""The serving path: forwards callers' requests and streams, runs jobs and serves a directory."""
