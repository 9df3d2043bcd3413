"""The command-line tool: exit codes, retries, waiting and output."""

import io
import json
import urllib.request

import pytest
from absl import flags
from google.protobuf.message import Message
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from plantainyard.api import (
    METHODS,
    ErrorCode,
    Probes,
    create_app,
    write_value,
)
from plantainyard.api import operators_pb2 as schema
from plantainyard.commands import COMMANDS, ExitCode, create_context, run_command
from plantainyard.commands.tests.fake_context import (
    BUSY,
    CREATE,
    DOWN,
    ENVIRON,
    GARBLED,
    LOST,
    REJECTED,
    SUMMARY,
    build_accepting_handlers,
    build_failing_handler,
    make_context,
    read_output,
)
from plantainyard.metrics import create_meter
from plantainyard.serving import serve_app
from plantainyard.settings import Metrics, parse_settings
from plantainyard.settings.tests.test_load import MINIMAL


@given(st.lists(st.sampled_from([LOST, DOWN, BUSY, REJECTED, GARBLED]), max_size=8))
@settings(derandomize=True, deadline=None, max_examples=200)
def test_job_is_accepted_once_and_reported_correctly(outcomes):
    """Guards against reporting "not done" for a job that was accepted.

    Connections break, instances are down or busy, and a proxy returns unreadable
    responses. The operator's script only sees the exit code: after "not done" it would
    submit the work again, and statements would be billed twice.
    """
    accepted: dict = {}
    context, sent = make_context(build_accepting_handlers(accepted), outcomes)
    code = run_command(CREATE, context)
    reached = any(outcome in (LOST, GARBLED) for outcome in outcomes[: len(sent)])
    assert len(accepted) <= 1
    assert len({body for _, body in sent}) == 1
    if code == ExitCode.OK:
        assert "j0 accepted" in read_output(context.out)
    else:
        assert (code == ExitCode.UNKNOWN) == reached
        assert code in {5, 3, 6, 8}
        assert bool(accepted) <= reached
    if code == ExitCode.UNKNOWN:
        assert "--request_id=request-0" in read_output(context.err)


def test_two_refusals_are_enough():
    """Guards against calling every instance while the log is unavailable.

    Each instance waits for the log before it refuses.
    """
    context, sent = make_context({}, [BUSY] * 4)
    environ = {**ENVIRON, "PLANTAINYARD_ADDRESSES": "127.0.0.1:1,127.0.0.1:2,[::1]:3"}
    assert run_command(CREATE, context._replace(environ=environ)) == 3
    assert len(sent) == 2


@pytest.mark.parametrize(
    ("code", "expected"),
    [
        (ErrorCode.MALFORMED, 2),
        (ErrorCode.REFUSED, 3),
        (ErrorCode.CONFLICT, 4),
        (ErrorCode.UNKNOWN, 5),
        (ErrorCode.NOT_FOUND, 7),
        (ErrorCode.INFEASIBLE, 8),
        (ErrorCode.UNAUTHORIZED, 9),
    ],
)
def test_each_error_has_its_exit_code(code, expected):
    """Guards against scripts that mistake one kind of failure for another."""
    error = build_failing_handler(
        code, field="size.cores", detail="too many", retry_after_s=4.0
    )
    context, _ = make_context({"CreateJob": error})
    assert run_command(CREATE, context) == expected
    assert "size.cores: too many" in read_output(context.err)
    context, _ = make_context({"CreateJob": error})
    assert run_command([*CREATE, "--output=json"], context) == expected
    assert json.loads(read_output(context.err).splitlines()[-1])["code"] == code


def test_refused_manual_retry_leaves_the_first_call_unknown():
    """Guards against taking the refusal of a manual retry as "not done".

    The first call ended with an unknown outcome and may have been accepted. The
    operator would submit the work under a new id.
    """
    context, _ = make_context(build_accepting_handlers({}), [BUSY, BUSY])
    assert run_command([*CREATE, "--request_id=request-9"], context) == 3
    assert "still is: repeat" in read_output(context.err)


@pytest.mark.parametrize("second", [BUSY, REJECTED])
def test_refusal_after_a_lost_response_stays_unknown(second):
    """Guards against "not done" when the response of the first instance is lost.

    The first instance accepted the job; the second refuses it, or finds that it could
    never run. After "not done" the operator would submit the job under a new id, and
    it would run twice.
    """
    accepted: dict = {}
    context, _ = make_context(build_accepting_handlers(accepted), [LOST, *[second] * 9])
    assert run_command(CREATE, context) == ExitCode.UNKNOWN
    assert len(accepted) == 1


@pytest.mark.parametrize(
    "arguments",
    [
        "",
        "jobs",
        "jobs make",
        "nope",
        "jobs describe",
        "jobs list extra",
        "jobs list --state=gone",
        "jobs create --no_such=1",
        "jobs create --file=/no/such/file",
        "services create --runners=a=b",
        "config apply",
        "config apply --set=weights.tail",
        "config apply --set=weights.tail={",
        "config apply --set=weights.tail=1 --request_id=request-1",
        "teams set billing",
        "teams set billing --cores=1 --memory_gb=1 --unlimited",
        "drain",
        "drain --worker=a --instance=b",
        "jobs cancel",
        "jobs explain j0 x",
        "status --output=xml",
    ],
)
def test_wrong_usage_is_reported_and_sends_nothing(arguments):
    """Guards against calls that are sent with invalid flags or arguments."""
    context, sent = make_context({})
    assert run_command(arguments.split(), context) == ExitCode.USAGE
    assert not sent
    assert read_output(context.err) or not arguments


def test_access_comes_from_flags_environment_or_profile(tmp_path):
    """Guards against calling another deployment than the one configured."""
    profile = tmp_path / "profile.toml"
    profile.write_text('addresses = ["127.0.0.1:7"]\ntoken_file = "token"\n')
    (tmp_path / "token").write_text("0123456789abcdef\n")
    handlers = {"Dump": lambda request: Ok(schema.DumpResponse())}
    cases = [
        (ENVIRON, [], "http://127.0.0.1:1"),
        (ENVIRON, ["--address=127.0.0.1:9"], "http://127.0.0.1:9"),
        ({}, [f"--profile={profile}"], "http://127.0.0.1:7"),
        ({"PLANTAINYARD_PROFILE": str(profile)}, [], "http://127.0.0.1:7"),
    ]
    for environ, arguments, address in cases:
        context, sent = make_context(handlers, environ=environ)
        assert run_command(["dump", *arguments], context) == ExitCode.OK
        assert sent[0][0] == address
    profile.write_text("address = 1\n")
    for arguments in ([], [f"--profile={profile}"]):
        context, sent = make_context(handlers, environ={})
        assert run_command(["dump", *arguments], context) == ExitCode.USAGE
        assert "addresses" in read_output(context.err)


def test_help_describes_each_subcommand():
    """Guards against a subcommand whose help lacks examples, flags or exit codes."""
    for command in COMMANDS:
        context, _ = make_context({}, environ={})
        assert run_command([*command.path, "--help"], context) == ExitCode.OK
        text = read_output(context.out)
        values = flags.FlagValues()
        command.define_flags(values)
        assert all(example in text for example in command.examples)
        assert all(f"{name}" in text for name in values)
        assert "Exit codes:" in text
    context, _ = make_context({}, environ={})
    assert run_command(["--help"], context) == ExitCode.OK
    assert all(" ".join(c.path) in read_output(context.out) for c in COMMANDS)


def test_wait_shows_progress_until_the_end():
    """Guards against a wait that ends because an instance can't be reached."""
    states = iter([schema.JOB_STATE_WAITING, *[schema.JOB_STATE_DONE] * 2])

    def describe(request):
        job = schema.JobSummary(job_id="j0", state=next(states), reason="no room")
        return Ok(schema.DescribeJobResponse(job=job))

    context, _ = make_context({"DescribeJob": describe}, [DOWN, DOWN])
    assert run_command(["jobs", "wait", "j0"], context) == ExitCode.OK
    assert "asking on" in read_output(context.err)
    assert "no room" in read_output(context.err)


@pytest.mark.parametrize(
    ("state", "arguments", "code"),
    [
        (schema.JOB_STATE_CANCELLED, [], ExitCode.ENDED_OTHERWISE),
        (schema.JOB_STATE_INFEASIBLE, [], ExitCode.ENDED_OTHERWISE),
        (schema.JOB_STATE_RUNNING, ["--wait_s=5"], ExitCode.STILL_RUNNING),
    ],
)
def test_wait_reports_how_it_ended(state, arguments, code):
    """Guards against a success code for a job that hasn't completed."""
    job = schema.JobSummary(job_id="j0", state=state)
    answer = Ok(schema.DescribeJobResponse(job=job))
    context, _ = make_context({"DescribeJob": lambda request: answer})
    assert run_command(["jobs", "wait", "j0", *arguments], context) == code


def test_interrupts_report_what_continues():
    """Guards against Ctrl-C without a message on what continues.

    The operator presses it while waiting for a job and while creating one. Without the
    message, the operator would believe that the job was stopped, or create it again.
    """

    def interrupt(*arguments):
        raise KeyboardInterrupt

    answer = Ok(schema.DescribeJobResponse(job=SUMMARY))
    context, _ = make_context({"DescribeJob": lambda request: answer})
    context = context._replace(sleep=interrupt)
    assert run_command(["jobs", "wait", "j0"], context) == ExitCode.INTERRUPTED
    assert "j0 goes on" in read_output(context.err)
    context = make_context({})[0]._replace(send=interrupt)
    assert run_command(CREATE, context) == ExitCode.INTERRUPTED
    assert "--request_id=request-0" in read_output(context.err)


def test_list_follows_pages_up_to_the_limit():
    """Guards against lists that end after one page or exceed the limit."""

    def page(request):
        token = str(int(request.page_token or 0) + 1)
        jobs = [SUMMARY] * min(2, request.page_size)
        return Ok(schema.ListJobsResponse(jobs=jobs, next_page_token=token))

    context, sent = make_context({"ListJobs": page})
    arguments = ["jobs", "list", "--limit=5", "--state=running", "--output=json"]
    assert run_command(arguments, context) == ExitCode.OK
    assert len(json.loads(read_output(context.out))["jobs"]) == 5
    assert len(sent) == 3


def test_change_builds_on_the_version_read(tmp_path):
    """Guards against overwriting a change made since the configuration was read."""
    changes = tmp_path / "changes.toml"
    changes.write_text("[teams.a]\ncores = 2\nmemory_gb = 4\n")
    seen: list = []

    def apply(request):
        seen.append(request)
        change = schema.ConfigurationChange(key="teams.a.cores", after=write_value(2))
        return Ok(schema.ApplyConfigurationResponse(version=8, changes=[change]))

    handlers = {
        "GetConfiguration": lambda request: Ok(
            schema.GetConfigurationResponse(version=7)
        ),
        "ApplyConfiguration": apply,
    }
    context, _ = make_context(handlers)
    arguments = ["config", "apply", str(changes), "--unset=weights.tail", "--dry_run"]
    assert run_command(arguments, context) == ExitCode.OK
    assert (seen[0].base_version, seen[0].dry_run) == (7, True)
    assert seen[0].changes["weights.tail"].HasField("null_value")
    assert seen[0].changes["teams.a.cores"].number_value == 2
    assert "teams.a.cores" in read_output(context.out)


METHOD_BY_COMMAND = {
    "jobs list": "ListJobs",
    "jobs describe j0": "DescribeJob",
    "jobs explain j0 3": "ExplainTask",
    "services list": "ListJobs",
    "config show": "GetConfiguration",
    "config history": "GetConfigurationHistory",
    "config status": "GetConfigurationStatus",
    "teams list": "ListTeams",
    "status": "Status",
    "dump": "Dump",
    "services create --name=s --team=t --runners=a=1 --cores=1 --memory_gb=1": (
        "CreateService"
    ),
    "teams set a --cores=1 --memory_gb=1 --base_version=1": "ApplyConfiguration",
    "jobs cancel j0": "CancelJobs",
    "drain --worker=w": "Drain",
}


def fill(message: Message) -> Message:
    """Return `message` with one item in each repeated message field."""
    for field in message.DESCRIPTOR.fields:
        plain = field.message_type and not field.message_type.GetOptions().map_entry
        if plain and field.is_repeated:
            fill(getattr(message, field.name).add())
    return message


@pytest.mark.parametrize("arguments", METHOD_BY_COMMAND)
@pytest.mark.parametrize("output", ["table", "json"])
def test_every_response_can_be_printed(arguments, output):
    """Guards against output that fails for empty or filled responses."""
    method = METHOD_BY_COMMAND[arguments]
    for answer in (METHODS[method].response(), fill(METHODS[method].response())):
        context, _ = make_context({method: lambda request, a=answer: Ok(a)})
        code = run_command([*arguments.split(), f"--output={output}"], context)
        assert code == ExitCode.OK
        if output == "json" or arguments == "dump":
            json.loads(read_output(context.out))


def test_whole_path_over_a_socket():
    """Guards against two jobs for one request id sent as protobuf and as JSON."""
    accepted: dict = {}
    loaded = parse_settings(MINIMAL, "x").unwrap()
    probes = Probes(list, list, dict)
    app = create_app(
        loaded, build_accepting_handlers(accepted), probes, create_meter(Metrics())
    )
    # The server's loop closes its own sockets. If the test closed them, the loop would
    # wait on closed sockets and its thread would end with an error.
    with serve_app(app, "127.0.0.1:0", 4, 10, 100_000, 1.0) as address:
        environ = {**ENVIRON, "PLANTAINYARD_ADDRESSES": address}
        context = create_context()._replace(
            environ=environ, out=io.StringIO(), err=io.StringIO()
        )
        assert run_command([*CREATE, "--request_id=same-request"], context) == 0
        body = {"request_id": "same-request", "name": "n", "team": "t", "run_s": 1}
        body |= {"task_count": 1, "size": {"cores": 1, "memory_gb": 1}}
        request = urllib.request.Request(
            f"http://{address}/plantainyard.v1.Operators/CreateJob",
            json.dumps(body).encode(),
            {
                "Authorization": "Bearer 0123456789abcdef",
                "Content-Type": "application/json",
            },
        )
        with urllib.request.urlopen(request) as answer:
            assert json.load(answer)["job"]["job_id"] == "j0"
        assert "j0 accepted" in read_output(context.out)
