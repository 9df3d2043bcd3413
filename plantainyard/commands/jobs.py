"""Subcommands that create, list, explain, cancel and wait for batch jobs."""

from absl import flags
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
    print_message,
    report_failure,
    run_call,
)
from plantainyard.commands.exit_codes import ExitCode
from plantainyard.commands.rendering import (
    STATE_PREFIX,
    format_explanation,
    format_job,
    format_jobs,
)
from plantainyard.commands.waiting import wait_for_job
from plantainyard.commands.work_flags import (
    define_work_flags,
    read_request_file,
    read_text,
    read_work_flags,
)

__all__ = [
    "COMMANDS",
    "cancel_jobs",
    "define_filter_flags",
    "describe_job",
    "format_cancelled",
    "list_jobs",
]

MAX_PAGE_SIZE = 1_000
MAX_TASK_NUMBER = 2**31 - 1
UNSPECIFIED = "unspecified"
STATES = [
    name.removeprefix(STATE_PREFIX).lower()
    for name in schema.JobState.keys()  # noqa: SIM118
    if not name.endswith(UNSPECIFIED.upper())
]


def _define_create(values: flags.FlagValues) -> None:
    define_work_flags(values)
    flags.DEFINE_integer("tasks", 1, "Number of tasks.", flag_values=values)
    flags.DEFINE_float(
        "run_s", 0.0, "Declared run time of one task in seconds.", flag_values=values
    )
    flags.DEFINE_bool("urgent", False, "Start ahead of others.", flag_values=values)
    flags.DEFINE_bool("gang", False, "Start all tasks or none.", flag_values=values)


def _create(invocation: Invocation) -> ExitCode:
    values = invocation.flags
    if values.file:
        request = read_request_file(invocation, schema.CreateJobRequest)
    else:
        request = schema.CreateJobRequest(
            **read_work_flags(invocation),
            task_count=values.tasks,
            run_s=values.run_s,
            urgent=values.urgent,
            gang=values.gang,
        )
    return run_call(invocation, "CreateJob", request, _format_created)


def _format_created(response: schema.CreateJobResponse) -> str:
    if not response.job.job_id:
        return f"would be accepted, with home domain {response.job.domain}"
    return f"{response.job.job_id} accepted, with home domain {response.job.domain}"


def define_filter_flags(values: flags.FlagValues) -> None:
    """Define the flags that filter a list of jobs."""
    flags.DEFINE_string("team", "", "Only this team's.", flag_values=values)
    flags.DEFINE_enum("state", None, STATES, "Only in this state.", flag_values=values)
    flags.DEFINE_string("domain", "", "Only with this home domain.", flag_values=values)
    flags.DEFINE_string("name", "", "Only names that begin so.", flag_values=values)
    flags.DEFINE_integer(
        "limit", 100, "Most that are listed.", lower_bound=1, flag_values=values
    )


def list_jobs(invocation: Invocation, kind: "schema.JobKind") -> ExitCode:
    """Print the jobs of one kind, read page by page up to the limit."""
    values = invocation.flags
    state = (values.state or UNSPECIFIED).upper()
    request = schema.ListJobsRequest(
        team=values.team,
        kind=kind,
        state=f"{STATE_PREFIX}{state}",
        domain=values.domain,
        name_prefix=values.name,
    )
    merged = schema.ListJobsResponse()
    while True:
        request.page_size = min(MAX_PAGE_SIZE, values.limit - len(merged.jobs))
        response = call_method(invocation, "ListJobs", request)
        if isinstance(response, Err):
            return report_failure(invocation, response.err_value)
        page: schema.ListJobsResponse = response.ok_value
        del merged.ages[:]
        merged.MergeFrom(page)
        merged.next_page_token = request.page_token = page.next_page_token
        if not page.next_page_token or len(merged.jobs) >= values.limit:
            break
    print_message(invocation, merged, format_jobs)
    if merged.next_page_token:
        print("There are more; raise --limit.", file=invocation.context.err)
    return ExitCode.OK


def _list(invocation: Invocation) -> ExitCode:
    return list_jobs(invocation, schema.JOB_KIND_BATCH)


def _define_describe(values: flags.FlagValues) -> None:
    flags.DEFINE_integer(
        "places", 100, "Most places that are listed.", flag_values=values
    )


def describe_job(invocation: Invocation) -> ExitCode:
    """Print one job."""
    request = schema.DescribeJobRequest(
        job_id=invocation.arguments[0], tasks_limit=invocation.flags.places
    )
    return run_call(invocation, "DescribeJob", request, format_job)


def _explain(invocation: Invocation) -> ExitCode:
    job_id, number = invocation.arguments
    if not number.isdecimal() or int(number) > MAX_TASK_NUMBER:
        raise UsageError(f"expected the number of a task, got {number!r}")
    request = schema.ExplainTaskRequest(job_id=job_id, number=int(number))
    return run_call(invocation, "ExplainTask", request, format_explanation)


def _define_cancel(values: flags.FlagValues) -> None:
    define_request_id_flag(values)
    flags.DEFINE_string(
        "ids_file", "", "File with a job id on each line.", flag_values=values
    )


def cancel_jobs(invocation: Invocation, job_ids: list[str]) -> ExitCode:
    """Cancel jobs in one call and print the outcome of each."""
    request = schema.CancelJobsRequest(
        request_id=pick_request_id(invocation), job_ids=job_ids
    )
    return run_call(invocation, "CancelJobs", request, format_cancelled)


def format_cancelled(response: schema.CancelJobsResponse) -> str:
    """Return a table with the outcome for each job."""
    rows = (
        (j.job_id, j.domain, "was over before" if j.was_over else "cancelled")
        for j in response.jobs
    )
    return format_table(("job", "domain", "outcome"), rows)


def _cancel(invocation: Invocation) -> ExitCode:
    job_ids = list(invocation.arguments)
    path = invocation.flags.ids_file
    if path:
        job_ids += read_text(path).split()
    if not job_ids:
        raise UsageError("expected job ids, or --ids_file")
    return cancel_jobs(invocation, job_ids)


def _define_wait(values: flags.FlagValues) -> None:
    flags.DEFINE_float(
        "wait_s", 0.0, "Longest wait in seconds; 0 waits on.", flag_values=values
    )


COMMANDS = (
    Command(
        ("jobs", "create"),
        "",
        "Accept a batch job.",
        "The answer names the job's id and its home domain. An accepted job is a "
        "record in the log: it runs to completion whatever instance dies. A job that "
        "could never run is refused at once, with the constraint that fails (exit "
        "code 8). If the answer is lost, the tool repeats with the same request id; "
        "if that fails too it prints the id for you to repeat with (exit code 5).",
        (
            "plantainyard jobs create --name=reconciliation --team=billing --tasks=40 "
            "--cores=2 --memory_gb=4 --run_s=120 --domains=addis-kality,addis-akaki",
            "plantainyard jobs create --file=statements.json --dry_run",
        ),
        _define_create,
        _create,
    ),
    Command(
        ("jobs", "list"),
        "",
        "List batch jobs.",
        "The reason tells why a job waits or can never run.",
        (
            "plantainyard jobs list --team=billing --state=waiting",
            "plantainyard jobs list --output=json --limit=5000",
        ),
        define_filter_flags,
        _list,
    ),
    Command(
        ("jobs", "describe"),
        "JOB_ID",
        "Show a job: its state, why it waits, and where it runs.",
        "Takes the id of a service's part too.",
        ("plantainyard jobs describe 5b0c7a9e1f23.addis-kality",),
        _define_describe,
        describe_job,
        1,
        1,
    ),
    Command(
        ("jobs", "explain"),
        "JOB_ID NUMBER",
        "Tell why a task is on its worker, or waits, and why not elsewhere.",
        "Lists every worker of the rack that answers for the task: what keeps the task "
        "off it now, or what it would cost there, by the parts of the cost. Costs have "
        "no unit; less is better.",
        ("plantainyard jobs explain 5b0c7a9e1f23.addis-kality 0",),
        define_no_flags,
        _explain,
        2,
        2,
    ),
    Command(
        ("jobs", "cancel"),
        "JOB_ID...",
        "Cancel jobs: nothing more starts, running tasks are stopped.",
        "All ids go in one call, which is made at most once under its request id.",
        (
            "plantainyard jobs cancel 5b0c7a9e1f23.addis-kality 77e01b2c.addis-akaki",
            "plantainyard jobs cancel --ids_file=wave.txt",
        ),
        _define_cancel,
        _cancel,
        0,
        10_000,
    ),
    Command(
        ("jobs", "wait"),
        "JOB_ID",
        "Wait until a job has ended, showing its progress.",
        "Exits with 0 when every task is done, 10 when the job was cancelled or can "
        "never run, 11 when --wait_s is over. Ctrl-C ends the wait only: the job goes "
        "on.",
        ("plantainyard jobs wait 5b0c7a9e1f23.addis-kality --wait_s=600",),
        _define_wait,
        wait_for_job,
        1,
        1,
    ),
)
