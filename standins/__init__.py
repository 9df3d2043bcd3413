"""Small stand-ins for the platform, for tests and the demo."""

from standins.deployments import ACCRA, AWASH, DEPLOYMENTS, SMALL, Deployment
from standins.evidence import Verdict, judge_evidence
from standins.processes import start_daemon, start_standin
from standins.site import Pace, Site, judge_site, start_site, wait_ready

__all__ = [
    "ACCRA",
    "AWASH",
    "DEPLOYMENTS",
    "SMALL",
    "Deployment",
    "Pace",
    "Site",
    "Verdict",
    "judge_evidence",
    "judge_site",
    "start_daemon",
    "start_site",
    "start_standin",
    "wait_ready",
]
