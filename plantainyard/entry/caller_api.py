"""The callers' port: submit, ask, cancel and count jobs."""

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
from plantainyard.entry.instance import Instance
from plantainyard.entry.lookups import count_pending_in, find_job
from plantainyard.entry.peers import PendingCount
from plantainyard.entry.responses import OK, send_json
from plantainyard.entry.topics import INTAKE
from plantainyard.entry.wall_clock import read_wall_clock_ms
from plantainyard.errors import ErrorKind
from plantainyard.platform.configuration import Configuration, Queue, find_queue
from plantainyard.platform.store import Append, Record
from plantainyard.platform.submissions import decode_body

__all__ = ["Answer", "build_caller_app", "serve_request"]

ID_LENGTH = 16
"""Hexadecimal digits of a job's id."""

STALE_S = 2.0
"""Age from which the configuration isn't acted on: operators expect a change to be
in force within 2.5 s, and an instance that can't reach the store doesn't see it."""

RETRY_AFTER_S = 1
"""When a caller that was refused should come back: most outages of the store for one
instance last seconds, and a repeat reaches another instance."""

ATTEMPT_S = 1.2
"""Longest wait for one attempt to store a submission. A store that answers sixty times
as slowly appends a record in 0.12 s, one after the other: attempts given up after
half a second were repeated, queued behind themselves, and hardly any was answered."""

GIVE_UP_S = 1.4
"""Time after which no further attempt begins: callers wait about three seconds, and a
second attempt on another connection must fit in."""

COUNT_THREADS = 12
"""Units that are asked for their counts at once; all that there can be."""

_pool = ThreadPoolExecutor(COUNT_THREADS, "count")


class Answer(NamedTuple):
    """An answer to a caller.

    Attributes
    ----------
    status : str
        Code and reason.
    body : dict
        Sent as JSON.
    retry_after_s : int
        Zero where the header is left out.
    reason : str
        One of `Reason` where the request was turned away; for the meter.
    """

    status: str
    body: dict[str, Any]
    retry_after_s: int = 0
    reason: str = ""


class Reason:
    """Names of the reasons for turning a request away."""

    STARTING = "starting"
    STALE = "stale configuration"
    STORE = "store"
    UNKNOWN_OUTCOME = "unknown outcome"
    QUEUE = "no such queue"
    JOB = "no such job"
    BODY = "wrong request"


_STALE = "the configuration may be out of date"
_NOT_FOUND = Answer("404 Not Found", {"error": "no such queue"}, reason=Reason.QUEUE)
_GONE = Answer("410 Gone", {"error": "no such job"}, reason=Reason.JOB)


def _refuse(error: str, reason: str) -> Answer:
    return Answer("503 Service Unavailable", {"error": error}, RETRY_AFTER_S, reason)


def _reject(error: str) -> Answer:
    return Answer("400 Bad Request", {"error": error}, reason=Reason.BODY)


def build_caller_app(
    instance: Instance,
) -> Callable[[WSGIEnvironment, StartResponse], Iterable[bytes]]:
    """Return the WSGI application of the callers' port."""

    def serve(environ: WSGIEnvironment, start: StartResponse) -> Iterable[bytes]:
        answer = serve_request(instance, environ)
        if answer.reason:
            instance.meters.refused.labels(answer.reason).inc()
        return send_json(start, answer.status, answer.body, answer.retry_after_s)

    return serve


def serve_request(instance: Instance, environ: WSGIEnvironment) -> Answer:
    """Answer one request of a caller."""
    configuration = instance.configuration
    if configuration is None:
        return _refuse("no configuration yet", Reason.STARTING)
    if not instance.copies:
        return _refuse("the number of units isn't known yet", Reason.STARTING)
    method = environ["REQUEST_METHOD"]
    host = environ.get("HTTP_HOST", "")
    found = find_queue(configuration, host, environ.get("PATH_INFO", ""))
    fresh = instance.is_configuration_fresh(read_clock(), STALE_S)
    if found is None:
        return _NOT_FOUND if fresh else _refuse(_STALE, Reason.STALE)
    queue, job_id = found
    if method == "GET" and not job_id:
        return _count(instance, queue)
    if not _is_job_id(job_id):
        return _reject("a job's id is 16 hexadecimal digits")
    if method == "POST":
        if not fresh:
            return _refuse(_STALE, Reason.STALE)
        return _submit(instance, configuration, queue, job_id, environ)
    if method == "GET":
        return _describe(instance, job_id)
    if method == "DELETE":
        return _cancel(instance, job_id)
    error = {"error": f"no method {method}"}
    return Answer("405 Method Not Allowed", error, reason=Reason.BODY)


def _is_job_id(text: str) -> bool:
    return len(text) == ID_LENGTH and all(c in "0123456789abcdefABCDEF" for c in text)


def _submit(
    instance: Instance,
    configuration: Configuration,
    queue: Queue,
    job_id: str,
    environ: WSGIEnvironment,
) -> Answer:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > configuration.body_bytes:
        return Answer(
            "413 Content Too Large",
            {"error": "the body is too long"},
            reason=Reason.BODY,
        )
    body = environ["wsgi.input"].read(length)
    decoded = _decode(body, job_id, queue)
    if isinstance(decoded, Err):
        instance.log.write("refused", job=job_id, why=decoded.err_value)
        return _reject(decoded.err_value)
    value = encode_submission(decoded.ok_value)
    unit = instance.find_copy(job_id).unit
    answer = _store(instance, unit, make_submission_key(job_id), value)
    event = "accepted" if answer.status == OK else "refused"
    instance.log.write(event, job=job_id, queue=queue.name, status=answer.status)
    return answer


def _decode(body: bytes, job_id: str, queue: Queue) -> Result[Submission, str]:
    try:
        submission = decode_body(body, job_id, queue, int(read_wall_clock_ms()))
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        return Err(f"not a submission: {error}")
    except RecursionError:
        return Err("not a submission: nested too deep")
    fault = validate_submission(submission)
    return Err(fault) if fault else Ok(submission)


def _store(instance: Instance, unit: int, key: str, value: bytes) -> Answer:
    """Store a record and answer; what is told as not accepted certainly isn't.

    Notes
    -----
    Guards against a job that was rejected and runs all the same: an append without an
    answer may take effect seconds later. Once one has gone unanswered the caller is
    told that the outcome is unknown, never that the job was refused.
    """
    append = Append(INTAKE, unit, [Record(key, value)])
    until = read_clock() + GIVE_UP_S
    unknown = False
    pause_s = 0.02
    while True:
        answer = instance.store.append(append, ATTEMPT_S)
        if isinstance(answer, Ok) and answer.ok_value.accepted:
            return Answer(OK, {})
        if isinstance(answer, Err):
            kind = answer.err_value.kind
            unknown |= kind not in (ErrorKind.REFUSED, ErrorKind.UNREACHABLE)
        if read_clock() + pause_s > until or instance.stopping.wait(pause_s):
            break
        pause_s *= 2
    if unknown:
        instance.log.write("answered_unknown", key=key)
        error = "the store did not answer; the outcome is not known"
        return Answer(
            "504 Gateway Timeout",
            {"error": error},
            RETRY_AFTER_S,
            Reason.UNKNOWN_OUTCOME,
        )
    return _refuse("not run: the store can't be reached", Reason.STORE)


def _describe(instance: Instance, job_id: str) -> Answer:
    found = find_job(instance, job_id)
    if isinstance(found, Err):
        return _refuse(found.err_value, Reason.STORE)
    _, job = found.ok_value
    return Answer(OK, {"state": job.state}) if job.state else _GONE


def _cancel(instance: Instance, job_id: str) -> Answer:
    found = find_job(instance, job_id)
    if isinstance(found, Err):
        return _refuse(found.err_value, Reason.STORE)
    unit, job = found.ok_value
    if not job.state:
        return _GONE
    if job.state in FinalStates.ALL:
        return Answer(OK, {"state": job.state})
    answer = _store(instance, unit, make_cancel_key(job_id), CANCEL_VALUE)
    if answer.status == OK:
        instance.log.write("cancel_accepted", job=job_id)
    return answer


def _count(instance: Instance, queue: Queue) -> Answer:
    counts = list(
        _pool.map(
            lambda copy: count_pending_in(instance, copy, queue.name), instance.copies
        )
    )
    known = [count for count in counts if count is not None]
    pending = sum_pending(count.pending for count in known)
    units = [count and _abridge(count) for count in counts]
    instance.log.write("counted", queue=queue.name, pending=pending, units=units)
    if len(known) < len(counts):
        return _refuse("the count may be out of date", Reason.STORE)
    return Answer(OK, {"pending": pending})


def _abridge(counted: PendingCount) -> list[float]:
    """Return what a unit's owner told as a row of numbers, for the log."""
    told = (len(v) if isinstance(v, frozenset) else v for v in counted.pending)
    return [*told, counted.age_s]
