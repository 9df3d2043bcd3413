"""HTTP API for callers: submit, query, cancel and count jobs."""

from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NamedTuple
from wsgiref.types import StartResponse, WSGIEnvironment

from result import Err, Ok, Result

from plantainyard.batch.checks import validate_submission
from plantainyard.batch.pending import sum_pending
from plantainyard.batch.records import (
    CANCEL_VALUE,
    encode_submission,
    make_cancel_key,
    make_submission_key,
)
from plantainyard.batch.values import FinalStates, Submission
from plantainyard.clock import read_clock
from plantainyard.decoding import DecodeError
from plantainyard.entry.admission import (
    ACCEPTED,
    Admission,
    can_be_rejected,
    decide_admission,
)
from plantainyard.entry.instance import Instance
from plantainyard.entry.lookups import count_pending_in, find_job
from plantainyard.entry.peers import (
    PendingCount,
    fetch_forecast,
    fetch_job,
    look_up_job,
)
from plantainyard.entry.responses import OK, send_json
from plantainyard.entry.topics import INTAKE
from plantainyard.entry.wall_clock import read_wall_clock_ms
from plantainyard.errors import ErrorKind
from plantainyard.platform.configuration import Configuration, Queue, find_queue
from plantainyard.platform.store_messages import Append, Record
from plantainyard.platform.submissions import check_body, decode_body

__all__ = ["Response", "build_caller_app", "may_refuse", "serve_request"]

ID_LENGTH = 16
"""Number of hexadecimal digits in a job id."""

MAX_CONFIGURATION_AGE_S = 2.0
"""Age in seconds up to which the configuration is used.

Operators expect a change to take effect within 2.5 s, and an instance that cannot reach
the store does not see the change.
"""

RETRY_AFTER_S = 1
"""Time in seconds after which a refused caller should retry.

Most outages of the store last only seconds for one instance, and a retry reaches
another instance.
"""

ATTEMPT_TIMEOUT_S = 1.2
"""Timeout in seconds for one attempt to store a submission.

A store that responds sixty times as slowly as usual takes 0.12 s for each record, one
after the other. With a timeout of half a second, retries queue behind earlier attempts
and hardly any attempt is answered.
"""

RETRY_WINDOW_S = 1.4
"""Time in seconds after which no further attempt is started.

Callers wait about three seconds, and a second attempt on another connection must finish
within that time.
"""

LATE_APPEND_S = 12.0
"""Time in seconds for which an append without an answer may still take effect; the
platform carries such calls out 2 to 12 s late."""

RECORD_ALLOWANCE = 1_024
"""Bytes of a record that are left for its key, and for what a handover adds to a
job."""

MAX_COUNT_THREADS = 12
"""Maximum number of units whose counts are read in parallel; there are never more."""

_count_pool = ThreadPoolExecutor(MAX_COUNT_THREADS, "count")


class Response(NamedTuple):
    """A response to a caller.

    Attributes
    ----------
    status : str
        Status code and reason phrase.
    body : dict
        Content, which is sent as JSON.
    retry_after_s : int
        Seconds after which the caller should retry; zero omits the header.
    reason : str
        One of `Reason` if the request was refused, for the metric; otherwise empty.
    """

    status: str
    body: dict[str, Any]
    retry_after_s: int = 0
    reason: str = ""


class Reason:
    """Names of the reasons for refusing a request."""

    STARTING = "starting"
    STALE = "stale configuration"
    STORE = "store"
    UNKNOWN_OUTCOME = "unknown outcome"
    QUEUE = "no such queue"
    JOB = "no such job"
    BODY = "wrong request"
    NO_CAPACITY = "no capacity in time"
    LARGE_BODIES = "large bodies"


_NOT_STORED = (ErrorKind.REFUSED, ErrorKind.TOO_LARGE, ErrorKind.UNREACHABLE)
"""Errors after which a record certainly isn't stored."""

_STALE_MESSAGE = "the configuration may be out of date"
_NO_SUCH_QUEUE = Response(
    "404 Not Found", {"error": "no such queue"}, reason=Reason.QUEUE
)
_NO_SUCH_JOB = Response("410 Gone", {"error": "no such job"}, reason=Reason.JOB)


def _refuse(error: str, reason: str) -> Response:
    return Response("503 Service Unavailable", {"error": error}, RETRY_AFTER_S, reason)


def _report_unknown(error: str) -> Response:
    return Response(
        "504 Gateway Timeout", {"error": error}, RETRY_AFTER_S, Reason.UNKNOWN_OUTCOME
    )


def _reject(error: str) -> Response:
    return Response("400 Bad Request", {"error": error}, reason=Reason.BODY)


def build_caller_app(
    instance: Instance,
) -> Callable[[WSGIEnvironment, StartResponse], Iterable[bytes]]:
    """Return the WSGI application of the callers' port."""

    def serve(environ: WSGIEnvironment, start: StartResponse) -> Iterable[bytes]:
        response = serve_request(instance, environ)
        if response.reason:
            instance.meters.refused.labels(response.reason).inc()
        return send_json(start, response.status, response.body, response.retry_after_s)

    return serve


def serve_request(instance: Instance, environ: WSGIEnvironment) -> Response:
    """Handle one request of a caller and return the response."""
    configuration = instance.configuration
    if configuration is None:
        return _refuse("no configuration yet", Reason.STARTING)
    if not instance.copies:
        return _refuse("the number of units isn't known yet", Reason.STARTING)
    method = environ["REQUEST_METHOD"]
    host = environ.get("HTTP_HOST", "")
    match = find_queue(configuration, host, environ.get("PATH_INFO", ""))
    fresh = instance.is_configuration_fresh(read_clock(), MAX_CONFIGURATION_AGE_S)
    if match is None:
        return _NO_SUCH_QUEUE if fresh else _refuse(_STALE_MESSAGE, Reason.STALE)
    queue, job_id = match
    if method == "GET" and not job_id:
        return _count(instance, queue)
    if not _is_job_id(job_id):
        return _reject("a job's id is 16 hexadecimal digits")
    if method == "POST":
        stale = _refuse(_STALE_MESSAGE, Reason.STALE)
        response = (
            _submit(instance, configuration, queue, job_id, environ) if fresh else stale
        )
        _record_submission(instance, queue, job_id, response)
        return response
    if method == "GET":
        return _describe(instance, job_id)
    if method == "DELETE":
        return _cancel(instance, job_id)
    error = {"error": f"no method {method}"}
    return Response("405 Method Not Allowed", error, reason=Reason.BODY)


def _is_job_id(text: str) -> bool:
    return len(text) == ID_LENGTH and all(c in "0123456789abcdefABCDEF" for c in text)


def _record_submission(
    instance: Instance, queue: Queue, job_id: str, response: Response
) -> None:
    """Log whether a submission was accepted, and why not, and count it by queue.

    Notes
    -----
    One that admission rejects has a line of its own, `job_turned_away`.
    """
    outcome = response.reason or "accepted"
    instance.meters.submissions.labels(queue.name, outcome).inc()
    if response.reason == Reason.NO_CAPACITY:
        return
    instance.log.write(
        "refused" if response.reason else "accepted",
        job=job_id,
        queue=queue.name,
        unit=instance.find_copy(job_id).unit,
        status=response.status,
        **({"why": response.body["error"]} if response.reason else {}),
    )


def _submit(
    instance: Instance,
    configuration: Configuration,
    queue: Queue,
    job_id: str,
    environ: WSGIEnvironment,
) -> Response:
    received = _read_body(configuration, environ)
    if isinstance(received, Err):
        return received.err_value
    body = received.ok_value
    unit = instance.find_copy(job_id).unit
    with instance.decode_budget.reserve(body) as is_reserved:
        if not is_reserved:
            return _refuse_large(instance, job_id)
        prepared = _prepare(instance, unit, queue, job_id, body)
    if isinstance(prepared, Err):
        return prepared.err_value
    return _store(instance, unit, make_submission_key(job_id), prepared.ok_value)


def _read_body(
    configuration: Configuration, environ: WSGIEnvironment
) -> Result[bytes, Response]:
    """Return the body of a submission, or the response if it can't be one."""
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > configuration.body_bytes:
        return Err(
            Response(
                "413 Content Too Large",
                {"error": "the body is too long"},
                reason=Reason.BODY,
            )
        )
    body = environ["wsgi.input"].read(length)
    try:
        check_body(body)
    except DecodeError as error:
        return Err(_reject(str(error)))
    return Ok(body)


def _refuse_large(instance: Instance, job_id: str) -> Response:
    """Return the response to a large job for which there is no room.

    Notes
    -----
    Guards against a job that is reported as not run, although an earlier request with
    its id, whose response was lost, has stored it.
    """
    if look_up_job(instance.find_copy(job_id), job_id).state:
        return Response(OK, {})
    if read_clock() < instance.unknown_until:
        error = "too many large bodies; an earlier request may have been stored"
        return _report_unknown(error)
    return _refuse("not run: too many large bodies", Reason.LARGE_BODIES)


def may_refuse(instance: Instance, host: str, path: str) -> bool:
    """Return whether a submission may be refused that wasn't looked at.

    Notes
    -----
    Guards against a job that is reported as not run, and runs: an earlier request with
    its id, whose response was lost, may have stored it.
    """
    configuration = instance.configuration
    match = configuration and find_queue(configuration, host, path)
    # A job of a queue that has been removed may still run.
    job_id = match[1] if match else path.strip("/").rpartition("/")[2]
    if not instance.copies or not _is_job_id(job_id):
        return True
    if read_clock() < instance.unknown_until:
        return False
    return not look_up_job(instance.find_copy(job_id), job_id).state


def _prepare(
    instance: Instance, unit: int, queue: Queue, job_id: str, body: bytes
) -> Result[bytes, Response]:
    """Return the record of a job that is accepted, or the response that rejects it.

    Notes
    -----
    The decoded job, which takes much more memory than its record, isn't kept while the
    record is stored.
    """
    record_bytes = instance.settings.record_bytes
    decoded = _decode(body, job_id, queue, record_bytes)
    if isinstance(decoded, Err):
        return Err(_reject(decoded.err_value))
    value = encode_submission(decoded.ok_value)
    if len(value) + RECORD_ALLOWANCE > record_bytes:
        return Err(_reject("the job is too long for a record of the store"))
    admission = _judge(instance, unit, decoded.ok_value)
    if admission.cause:
        return Err(
            Response(
                "429 Too Many Requests",
                {"error": "not run: no capacity in time"},
                admission.retry_after_s,
                Reason.NO_CAPACITY,
            )
        )
    return Ok(value)


def _judge(instance: Instance, unit: int, submission: Submission) -> Admission:
    """Decide whether a job is accepted; nothing of a rejected one is stored.

    Notes
    -----
    Guards against a job that is reported as rejected but runs: it may have been
    submitted before. The owner therefore looks its id up, including what the store has
    received a moment ago, and without that answer the job is accepted. An append whose
    outcome is unknown may take effect seconds later, so that nothing is rejected for
    that time.
    """
    policy = instance.policy.admission
    now = read_clock()
    if policy is None or not can_be_rejected(submission):
        return ACCEPTED
    if now < instance.unknown_until:
        return ACCEPTED
    job_id = submission.job_id
    is_returning = instance.rejected.is_returning(job_id, now)
    forecast = fetch_forecast(instance, unit, submission.queue)
    admission = decide_admission(forecast, submission, policy, is_returning)
    if forecast is None or not admission.cause:
        instance.rejected.discard(job_id)
        return ACCEPTED
    known = fetch_job(instance, unit, job_id)
    if known is None or known.state:
        return ACCEPTED
    instance.rejected.add(job_id, admission.retry_after_s, read_clock())
    kind = "backfill" if submission.steps[0].backfill else "finite"
    instance.meters.turned_away.labels(kind, admission.cause).inc()
    instance.log.write(
        "job_turned_away",
        job=job_id,
        queue=submission.queue,
        unit=unit,
        why=admission.cause,
        wait_s=round(admission.wait_s, 3),
        ratio=round(admission.ratio, 3),
        bound=admission.bound,
        open_jobs=forecast.open_jobs,
        age_s=forecast.age_s,
        own_age_s=forecast.own_age_s,
        retry_after_s=admission.retry_after_s,
        returning=is_returning,
    )
    return admission


def _decode(
    body: bytes, job_id: str, queue: Queue, record_bytes: int
) -> Result[Submission, str]:
    try:
        submission = decode_body(body, job_id, queue, int(read_wall_clock_ms()))
    except DecodeError as error:
        return Err(str(error))
    error_text = validate_submission(submission, record_bytes)
    return Err(error_text) if error_text else Ok(submission)


def _store(instance: Instance, unit: int, key: str, value: bytes) -> Response:
    """Store a record and return the response; a refused record is never stored.

    Notes
    -----
    Guards against a job that is reported as refused but runs nevertheless: an append
    without a response may take effect seconds later. After such an append, the caller
    learns that the outcome is unknown, never that the job was refused.
    """
    append = Append(INTAKE, unit, [Record(key, value)])
    deadline = read_clock() + RETRY_WINDOW_S
    outcome_unknown = False
    pause_s = 0.02
    while True:
        result = instance.store.append(append, ATTEMPT_TIMEOUT_S)
        if isinstance(result, Ok) and result.ok_value.accepted:
            return Response(OK, {})
        if isinstance(result, Err):
            kind = result.err_value.kind
            if kind == ErrorKind.TOO_LARGE and not outcome_unknown:
                return _reject("the job is too long for a record of the store")
            outcome_unknown |= kind not in _NOT_STORED
        if read_clock() + pause_s > deadline or instance.stopping.wait(pause_s):
            break
        pause_s *= 2
    if outcome_unknown:
        instance.log.write("answered_unknown", key=key)
        instance.unknown_until = read_clock() + LATE_APPEND_S
        return _report_unknown("the store did not answer; the outcome is not known")
    return _refuse("not run: the store can't be reached", Reason.STORE)


def _describe(instance: Instance, job_id: str) -> Response:
    lookup = find_job(instance, job_id)
    if isinstance(lookup, Err):
        return _refuse(lookup.err_value, Reason.STORE)
    _, job = lookup.ok_value
    return Response(OK, {"state": job.state}) if job.state else _NO_SUCH_JOB


def _cancel(instance: Instance, job_id: str) -> Response:
    lookup = find_job(instance, job_id)
    if isinstance(lookup, Err):
        return _refuse(lookup.err_value, Reason.STORE)
    unit, job = lookup.ok_value
    if not job.state:
        return _NO_SUCH_JOB
    if job.state in FinalStates.ALL:
        return Response(OK, {"state": job.state})
    response = _store(instance, unit, make_cancel_key(job_id), CANCEL_VALUE)
    if response.status == OK:
        instance.log.write("cancel_accepted", job=job_id)
    return response


def _count(instance: Instance, queue: Queue) -> Response:
    counts = list(
        _count_pool.map(
            lambda copy: count_pending_in(instance, copy, queue.name), instance.copies
        )
    )
    known = [count for count in counts if count is not None]
    pending = sum_pending(count.pending for count in known)
    units = [count and _summarize(count) for count in counts]
    instance.log.write("counted", queue=queue.name, pending=pending, units=units)
    if len(known) < len(counts):
        return _refuse("the count may be out of date", Reason.STORE)
    return Response(OK, {"pending": pending})


def _summarize(counted: PendingCount) -> list[float]:
    """Return the count of one unit as a list of numbers, for the log."""
    values = (len(v) if isinstance(v, frozenset) else v for v in counted.pending)
    return [*values, round(counted.age_s, 3)]
