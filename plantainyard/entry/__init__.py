"""An entry instance on the users' platform: its threads, actors and servers.

This package does all input and output for `plantainyard.batch` and
`plantainyard.dispatch`. ``python -m plantainyard.entry`` runs an instance.
"""

__all__: list[str] = []
