"""One entry instance on the users' platform: threads, actors, servers.

All input and output of `plantainyard.batch` and `plantainyard.dispatch` is here;
`python -m plantainyard.entry` runs an instance.
"""

__all__: list[str] = []
