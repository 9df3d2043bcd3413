"""Schedule colocated latency-critical and batch work over failure domains."""

__all__ = ["__version__"]

__version__ = "0.1.0"
