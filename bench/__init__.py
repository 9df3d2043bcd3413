"""Measurements: trace replay, baselines, slopes and the report."""
