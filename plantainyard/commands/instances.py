"""Subcommands that drain, dump and show the status of instances and workers."""

from absl import flags
from google.protobuf import json_format
from result import Err

from plantainyard.api import operators_pb2 as schema
from plantainyard.commands.command import (
    Command,
    Invocation,
    UsageError,
    call_method,
    define_no_flags,
    define_request_id_flag,
    format_table,
    pick_request_id,
    print_json,
    report_failure,
    run_call,
)
from plantainyard.commands.exit_codes import ExitCode
from plantainyard.commands.rendering import format_age, format_ages

__all__ = ["COMMANDS"]


def _define_drain(values: flags.FlagValues) -> None:
    define_request_id_flag(values)
    flags.DEFINE_string("instance", "", "Entry instance to empty.", flag_values=values)
    flags.DEFINE_string("worker", "", "Worker to empty.", flag_values=values)
    flags.DEFINE_bool("undo", False, "Take it back into use.", flag_values=values)


def _drain(invocation: Invocation) -> ExitCode:
    values = invocation.flags
    if bool(values.instance) == bool(values.worker):
        raise UsageError("expected either --instance or --worker")
    request = schema.DrainRequest(
        request_id=pick_request_id(invocation), undo=values.undo
    )
    if values.instance:
        request.instance = values.instance
    else:
        request.worker = values.worker
    return run_call(
        invocation,
        "Drain",
        request,
        lambda response: f"accepted as configuration version {response.version}",
    )


def _dump(invocation: Invocation) -> ExitCode:
    response = call_method(invocation, "Dump", schema.DumpRequest())
    if isinstance(response, Err):
        return report_failure(invocation, response.err_value)
    print_json(invocation, json_format.MessageToDict(response.ok_value.state))
    return ExitCode.OK


def _show_status(invocation: Invocation) -> ExitCode:
    return run_call(invocation, "Status", schema.StatusRequest(), _format_status)


def _format_status(response: schema.StatusResponse) -> str:
    reasons = "; ".join(response.not_ready_reasons)
    summary = (
        ("instance", f"{response.instance} ({response.domain}, {response.region})"),
        ("software", f"{response.software_version}, up {response.uptime_s:.0f} s"),
        ("ready", "yes" if response.ready else f"no: {reasons}"),
        (
            "configuration",
            f"version {response.configuration_version}, "
            f"known current {format_age(response.configuration_age_s)}",
        ),
        (
            "requests",
            f"{response.requests_in_progress} in progress, "
            f"{response.requests_queued} queued",
        ),
    )
    racks = (
        (
            r.rack,
            r.term,
            "yes" if r.authority else "not yet",
            f"{r.workers - r.workers_silent} of {r.workers}",
            r.tasks_assigned,
            r.tasks_waiting,
        )
        for r in response.racks
    )
    peers = (
        (p.instance, p.domain, p.state, format_age(p.heard_s), p.address)
        for p in response.peers
    )
    rack_names = (
        "rack",
        "term",
        "authority",
        "workers heard from",
        "assigned",
        "waiting",
    )
    peer_names = ("peer", "domain", "state", "heard from", "address")
    return "\n".join(
        [
            *(f"{name + ':':<15} {value}" for name, value in summary),
            *format_ages(response.streams),
            "",
            format_table(rack_names, racks),
            "",
            format_table(peer_names, peers),
        ]
    )


COMMANDS = (
    Command(
        ("drain",),
        "",
        "Empty an entry instance or a worker ahead of a planned stop.",
        "The order is a change of configuration, so it takes effect through the log. "
        "An instance tells the balancer that it isn't ready and gives its racks up. A "
        "worker gets no new tasks; its batch tasks are checkpointed and go on "
        "elsewhere, its runners get no new requests and end once those they have are "
        "over. --undo takes the target back into use.",
        (
            "plantainyard drain --instance=addis-kality-2",
            "plantainyard drain --worker=w17",
            "plantainyard drain --worker=w17 --undo",
        ),
        _define_drain,
        _drain,
    ),
    Command(
        ("dump",),
        "",
        "Print the whole state of one instance as JSON.",
        "Asks the first instance that answers; name one with --address. Secrets are "
        "not part of it.",
        ("plantainyard dump --address=10.10.1.1:7401 > dump.json",),
        define_no_flags,
        _dump,
    ),
    Command(
        ("status",),
        "",
        "Tell how one instance is: readiness, racks, peers, configuration.",
        "Asks the first instance that answers; name one with --address.",
        ("plantainyard status --address=10.10.1.1:7401",),
        define_no_flags,
        _show_status,
    ),
)
