"""Handlers of calls that read or change the configuration."""

from itertools import islice
from typing import Any

from google.protobuf.struct_pb2 import Value
from result import Err, Ok, Result

from plantainyard import state as log_state
from plantainyard.api import ApiError, ErrorCode, read_changes, write_value
from plantainyard.api import operators_pb2 as schema
from plantainyard.configuration import (
    build_instance_draining_key,
    build_worker_draining_key,
)
from plantainyard.node import ConfigView, knows_newest

from .node import (
    Node,
    build_append_error,
    list_peers,
    read_config,
    submit_and_wait,
)

__all__ = [
    "apply_configuration",
    "drain",
    "get_configuration",
    "get_configuration_history",
    "get_configuration_status",
]

_DEFAULT_HISTORY_LIMIT = 50


def apply_configuration(
    node: Node, request: schema.ApplyConfigurationRequest
) -> Result[schema.ApplyConfigurationResponse, ApiError]:
    """Append a configuration change that builds on the request's base version.

    A dry run only checks that no key was changed after the base version.
    """
    view = read_config(node)
    changes = read_changes(request)
    shown = [
        schema.ConfigurationChange(
            key=key,
            before=_write_optional_value(view.values.get(key)),
            after=write_value(v),
        )
        for key, v in sorted(changes.items())
    ]
    if request.dry_run:
        newer = [view.versions.get(key, -1) for key in changes]
        if max(newer, default=-1) > request.base_version:
            return Err(_build_conflict_error(max(newer)))
        return Ok(
            schema.ApplyConfigurationResponse(
                version=request.base_version, changes=shown
            )
        )
    applied = _append(node, request.request_id, request.base_version, changes)
    if isinstance(applied, Err):
        return applied
    versions = _list_versions(node)
    return Ok(
        schema.ApplyConfigurationResponse(
            version=applied.ok_value,
            changes=shown,
            in_force_on=sum(v >= applied.ok_value for v in versions),
            instances=len(versions),
        )
    )


def _append(
    node: Node, request_id: str, base: int, changes: dict[str, Any]
) -> Result[int, ApiError]:
    record = log_state.make_config(request_id, base, changes)
    report = submit_and_wait(node.config, record)
    error = build_append_error(report)
    return Ok(report.offset) if error is None else Err(error)


def _build_conflict_error(version: int) -> ApiError:
    return ApiError(
        ErrorCode.CONFLICT,
        "a key was changed since",
        "base_version",
        0.0,
        version,
    )


def _write_optional_value(value: Any) -> Value | None:
    return None if value is None else write_value(value)


def _list_versions(node: Node) -> list[int]:
    peers = [p.heartbeat.config_version for p in list_peers(node) if p.heartbeat]
    return [read_config(node).version, *peers]


def get_configuration(
    node: Node, request: schema.GetConfigurationRequest
) -> Result[schema.GetConfigurationResponse, ApiError]:
    """Return the values in force on this instance whose keys have the prefix."""
    view = read_config(node)
    response = schema.GetConfigurationResponse(version=view.version, age_s=view.age_s)
    for key, value in view.values.items():
        if key.startswith(request.prefix):
            response.values[key].CopyFrom(write_value(value))
    return Ok(response)


def get_configuration_history(
    node: Node, request: schema.GetConfigurationHistoryRequest
) -> Result[schema.GetConfigurationHistoryResponse, ApiError]:
    """Return accepted changes, newest first, up to the requested limit."""
    view = read_config(node)
    has_bound = request.HasField("before_version")
    older = [
        entry
        for entry in reversed(view.history)
        if not has_bound or entry.version < request.before_version
    ]
    limit = request.limit or _DEFAULT_HISTORY_LIMIT
    changes = [_write_entry(entry) for entry in islice(older, limit)]
    return Ok(
        schema.GetConfigurationHistoryResponse(changes=changes, more=len(older) > limit)
    )


def _write_entry(entry: log_state.HistoryEntry) -> schema.AcceptedChange:
    change = schema.AcceptedChange(version=entry.version, request_id=entry.request_id)
    for key, value in entry.changes.items():
        change.changes[key].CopyFrom(write_value(value))
    return change


def get_configuration_status(
    node: Node, request: schema.GetConfigurationStatusRequest
) -> Result[schema.GetConfigurationStatusResponse, ApiError]:
    """Return the configuration version of each instance, from its latest heartbeat."""
    view = read_config(node)
    instances = [_write_own_status(node, view), *_write_peers(node)]
    newest = max(instance.version for instance in instances)
    return Ok(
        schema.GetConfigurationStatusResponse(
            newest_version=newest, instances=instances
        )
    )


def _write_own_status(node: Node, view: ConfigView) -> schema.InstanceConfiguration:
    instance = node.settings.instance
    return schema.InstanceConfiguration(
        instance=instance.id,
        domain=instance.domain,
        version=view.version,
        age_s=view.age_s,
        knows_current=knows_newest(node.settings, view),
    )


def _write_peers(node: Node) -> list[schema.InstanceConfiguration]:
    return [
        schema.InstanceConfiguration(
            instance=peer.instance,
            domain=peer.domain,
            version=peer.heartbeat.config_version,
            age_s=peer.heartbeat.config_age_s + peer.age_s,
            knows_current=peer.is_live and peer.heartbeat.knows_config,
            report_age_s=peer.age_s,
        )
        for peer in list_peers(node)
        if peer.heartbeat is not None
    ]


def drain(
    node: Node, request: schema.DrainRequest
) -> Result[schema.DrainResponse, ApiError]:
    """Start or undo the draining of an instance or a worker, by configuration."""
    if request.WhichOneof("target") == "instance":
        key = build_instance_draining_key(request.instance)
    else:
        key = build_worker_draining_key(request.worker)
    base = read_config(node).version
    applied = _append(node, request.request_id, base, {key: not request.undo})
    return applied.map(lambda version: schema.DrainResponse(version=version))
