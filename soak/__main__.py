"""Command line of the soak."""

import sys
from pathlib import Path

from absl import app, flags

from soak.run import run_soak
from soak.site import ALL_PARTS, SiteSpec

FLAGS = flags.FLAGS
flags.DEFINE_integer("seed", 1, "First seed.")
flags.DEFINE_integer("runs", 1, "Number of runs, each with the next seed.")
flags.DEFINE_float("seconds", 20.0, "Length of a run, without its end.")
flags.DEFINE_integer("instances", 3, "Number of instances.")
flags.DEFINE_integer("runners", 4, "Number of runners.")
flags.DEFINE_integer("reserves", 0, "Instances that own units only for want of others.")
flags.DEFINE_integer("units", 0, "Parts of the fleet; 0 lets the instances choose.")
flags.DEFINE_bool("policy", False, "Switch on all parts of the scheduling policy.")
flags.DEFINE_integer("labelled", 0, "Runners with a label that some jobs require.")
flags.DEFINE_bool(
    "silent", False, "Let runners restart and fall silent, and some tasks run for long."
)
flags.DEFINE_string("logs", "", "Folder that keeps the logs of instances.")


def main(_: list[str]) -> int:
    """Run the requested seeds and return 1 if any of them violated an invariant."""
    failed = 0
    spec = SiteSpec(
        FLAGS.instances,
        FLAGS.runners,
        FLAGS.reserves,
        FLAGS.units,
        ALL_PARTS if FLAGS.policy else "",
        FLAGS.labelled,
    )
    for seed in range(FLAGS.seed, FLAGS.seed + FLAGS.runs):
        folder = Path(FLAGS.logs) / str(seed) if FLAGS.logs else None
        if folder is not None:
            folder.mkdir(parents=True, exist_ok=True)
        outcome = run_soak(seed, FLAGS.seconds, folder, spec, FLAGS.silent)
        print(f"seed {seed}: {outcome}", flush=True)
        failed += bool(outcome.broken)
    return 1 if failed else 0


if __name__ == "__main__":
    app.run(lambda argv: sys.exit(main(argv)))
