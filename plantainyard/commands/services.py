"""Subcommands that create, list, describe and cancel services."""

from absl import flags
from result import Err

from plantainyard.api import operators_pb2 as schema
from plantainyard.commands.command import (
    Command,
    Invocation,
    call_method,
    define_no_flags,
    define_request_id_flag,
    print_message,
    report_failure,
    run_call,
)
from plantainyard.commands.exit_codes import ExitCode
from plantainyard.commands.jobs import (
    cancel_jobs,
    define_filter_flags,
    list_jobs,
)
from plantainyard.commands.rendering import format_job
from plantainyard.commands.work_flags import (
    define_work_flags,
    parse_pairs,
    read_request_file,
    read_work_flags,
)

__all__ = ["COMMANDS"]

MAX_PAGE_SIZE = 1_000
LIVE_STATES = frozenset(
    {
        schema.JOB_STATE_WAITING,
        schema.JOB_STATE_RUNNING,
        schema.JOB_STATE_INFEASIBLE,
    }
)


def _define_create(values: flags.FlagValues) -> None:
    define_work_flags(values)
    flags.DEFINE_list(
        "runners", [], "DOMAIN=NUMBER of runners, ...", flag_values=values
    )
    flags.DEFINE_integer(
        "slots", 8, "Requests that a runner can hold.", flag_values=values
    )
    flags.DEFINE_integer(
        "connections", 60, "Connections that a runner can hold.", flag_values=values
    )


def _create(invocation: Invocation) -> ExitCode:
    values = invocation.flags
    if values.file:
        request = read_request_file(invocation, schema.CreateServiceRequest)
    else:
        request = schema.CreateServiceRequest(
            **read_work_flags(invocation),
            runners=parse_pairs("runners", values.runners),
            slots=values.slots,
            connections=values.connections,
        )
    return run_call(invocation, "CreateService", request, _format_created)


def _format_created(response: schema.CreateServiceResponse) -> str:
    return "\n".join(
        f"{job.job_id} accepted in {job.domain}"
        if job.job_id
        else f"would be accepted in {job.domain}"
        for job in response.jobs
    )


def _list(invocation: Invocation) -> ExitCode:
    return list_jobs(invocation, schema.JOB_KIND_SERVICE)


def _find_parts(invocation: Invocation) -> list[schema.JobSummary] | ExitCode:
    name = invocation.arguments[0]
    request = schema.ListJobsRequest(
        kind=schema.JOB_KIND_SERVICE, name_prefix=name, page_size=MAX_PAGE_SIZE
    )
    parts: list[schema.JobSummary] = []
    while True:
        response = call_method(invocation, "ListJobs", request)
        if isinstance(response, Err):
            return report_failure(invocation, response.err_value)
        page: schema.ListJobsResponse = response.ok_value
        parts += [
            job for job in page.jobs if job.name == name and job.state in LIVE_STATES
        ]
        if not page.next_page_token:
            break
        request.page_token = page.next_page_token
    if not parts:
        print(f"not found: no service {name} that runs", file=invocation.context.err)
        return ExitCode.NOT_FOUND
    return parts


def _describe(invocation: Invocation) -> ExitCode:
    parts = _find_parts(invocation)
    if isinstance(parts, ExitCode):
        return parts
    for part in parts:
        request = schema.DescribeJobRequest(job_id=part.job_id)
        response = call_method(invocation, "DescribeJob", request)
        if isinstance(response, Err):
            return report_failure(invocation, response.err_value)
        print_message(
            invocation,
            response.ok_value,
            lambda described: format_job(described) + "\n",
        )
    return ExitCode.OK


def _cancel(invocation: Invocation) -> ExitCode:
    parts = _find_parts(invocation)
    if isinstance(parts, ExitCode):
        return parts
    return cancel_jobs(invocation, [part.job_id for part in parts])


COMMANDS = (
    Command(
        ("services", "create"),
        "",
        "Accept a service and start its runners.",
        "A service has a part in each failure domain that --runners names; the part "
        "is decided on there alone, also when the domain is cut off. Callers use the "
        "service's name in their URLs.",
        (
            "plantainyard services create --name=gate-clearing --team=gate "
            "--runners=addis-kality=12,addis-akaki=10,dire-dawa-rail=8 --cores=4 "
            "--memory_gb=8 --slots=8 --connections=60",
            "plantainyard services create --file=ordering.json --dry_run",
        ),
        _define_create,
        _create,
    ),
    Command(
        ("services", "list"),
        "",
        "List services, a line for each failure domain's part.",
        "The reason tells why runners are missing.",
        ("plantainyard services list --domain=kumasi-adum",),
        define_filter_flags,
        _list,
    ),
    Command(
        ("services", "describe"),
        "NAME",
        "Show a service: its parts, runners and where they run.",
        "With --output=json one object for each part.",
        ("plantainyard services describe gate-clearing",),
        define_no_flags,
        _describe,
        1,
        1,
    ),
    Command(
        ("services", "cancel"),
        "NAME",
        "Stop a service in every failure domain.",
        "Its runners get no new requests, and end once those they have are over.",
        ("plantainyard services cancel gate-clearing",),
        define_request_id_flag,
        _cancel,
        1,
        1,
    ),
)
