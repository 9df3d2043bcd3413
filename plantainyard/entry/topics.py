"""Names of the topics, the group and the keys that plantainyard uses in the store."""

__all__ = [
    "CONFIGURATION_KEY",
    "GROUP",
    "INTAKE",
    "LAYOUT",
    "OPERATIONS",
    "OWNER_PREFIX",
    "PRODUCER",
    "PROGRESS",
    "RUNNERS",
    "UNITS_KEY",
]

INTAKE = "keyed.intake"
"""Submissions and requests to cancel; written by any instance, each key once."""

PROGRESS = "keyed.progress"
"""Progress and final states of jobs; written by a unit's owner, fenced by its epoch."""

RUNNERS = "keyed.servers"
"""Entries that the runners write about themselves."""

OPERATIONS = "keyed.op"
"""The configuration that operators publish."""

LAYOUT = "keyed.layout"
"""The number of units, and the owner of each unit."""

UNITS_KEY = "units"
OWNER_PREFIX = "owner/"
CONFIGURATION_KEY = "config"
GROUP = "owners"
PRODUCER = "owner"
