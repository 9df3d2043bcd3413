"""Small stand-ins for the platform, used by tests and the demo."""

from standins.deployments import ACCRA, AWASH, DEPLOYMENTS, SMALL, Deployment
from standins.processes import start_daemon, start_standin
from standins.site import (
    Site,
    SiteTimings,
    find_site_violations,
    start_site,
    wait_ready,
)
from standins.violations import Violations, find_violations

__all__ = [
    "ACCRA",
    "AWASH",
    "DEPLOYMENTS",
    "SMALL",
    "Deployment",
    "SiteTimings",
    "Site",
    "Violations",
    "find_violations",
    "find_site_violations",
    "start_daemon",
    "start_site",
    "start_standin",
    "wait_ready",
]
