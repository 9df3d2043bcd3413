"""Settings of one instance: their model, validation rules and loading."""

from plantainyard.settings.load import (
    SettingError,
    describe_setting_error,
    load_settings,
    parse_settings,
)
from plantainyard.settings.model import (
    CutOff,
    Instance,
    Intervals,
    Limits,
    Logs,
    Metrics,
    Platform,
    Requests,
    Security,
    Settings,
)
from plantainyard.settings.ports import derive_port_limits
from plantainyard.settings.rules import RULES, Rule, compute_stop_grace
from plantainyard.settings.secret import Secret

__all__ = [
    "RULES",
    "CutOff",
    "Instance",
    "Intervals",
    "Limits",
    "Logs",
    "Metrics",
    "Platform",
    "Requests",
    "Rule",
    "Secret",
    "Security",
    "SettingError",
    "Settings",
    "describe_setting_error",
    "compute_stop_grace",
    "derive_port_limits",
    "load_settings",
    "parse_settings",
]
