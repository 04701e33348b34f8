"""``damaskdeck losses``: what late jobs waited for, reconstructed from log lines."""

import json
import unittest

from typer.testing import CliRunner

from damaskdeck.cli import app, losses
from damaskdeck.cli.logs import read_lines
from tests.test_lines import write_line


def write_job(
    job: str, begin: int, end: int, durable: int, *runs: tuple[int, int, str, str]
) -> list[str]:
    """Return the log lines of a job of one step.

    :param begin: second in which the job was accepted.
    :param end: second in which the job ended.
    :param durable: second in which its end was durable.
    :param runs: begin, end, worker and outcome of each run.
    """
    lines = [write_line(begin, "Taken.", id=job, queue="quick")]
    for attempt, (since, until, worker, outcome) in enumerate(runs, 1):
        run = {"id": job, "attempt": attempt}
        lines += [
            write_line(
                since, "Ordered.", step=0, tasks=[attempt], workers=[worker], **run
            ),
            write_line(
                until,
                "A run has ended.",
                task=[0, 0, attempt],
                worker=worker,
                outcome=outcome,
                **run,
            ),
        ]
    ended = {"queue": "quick", "state": "completed", "age": end - begin}
    return [
        *lines,
        write_line(end, "A job has ended.", id=job, slack=1.5, allowance=0.25, **ended),
        write_line(durable, "A final state is durable.", id=job),
    ]


class TestLosses(unittest.TestCase):
    """The seconds of late jobs by what the jobs waited for."""

    def split(self, *lines: str) -> dict[str, float]:
        """Return the seconds by cause of the only job in the lines."""
        read = sorted(read_lines(lines), key=lambda line: line.time)
        (timeline,) = losses.read_timelines(read)
        return dict(losses.split_by_cause(timeline, losses.read_history(read)))

    def test_waits_for_capacity_and_for_the_store_are_distinguished(self):
        split = self.split(*write_job("j1", 1, 7, 9, (5, 7, "w1", "completed")))
        self.assertEqual(split["room, advice or order"], 4)
        self.assertEqual(split["work"], 2)
        self.assertEqual(split["end not durable"], 2)

    def test_a_wait_for_the_quota_of_an_account_is_distinguished(self):
        lines = write_job("j1", 1, 7, 7, (5, 7, "w1", "completed"))
        lines[0] = write_line(1, "Taken.", id="j1", queue="quick", account="kiosk")
        held = write_line(2, "An account is held back.", account="kiosk", code="quota")
        split = self.split(*lines, held)
        self.assertEqual(split["room, advice or order"], 1)
        self.assertEqual(split["quota, or room beside it"], 3)

    def write_account_job(self, **fields) -> list[str]:
        """Return the lines of a job of an account, late by its wait of 8 s."""
        lines = write_job("j1", 1, 10, 10, (9, 10, "w1", "completed"))
        lines[0] = write_line(1, "Taken.", id="j1", queue="quick", account="kiosk")
        lines[-2] = lines[-2].replace('"id"', f'{json.dumps(fields)[1:-1]}, "id"')
        return lines

    def test_a_wait_for_the_share_of_an_account_is_distinguished(self):
        above = "An account is above its fair share."
        split = self.split(
            *self.write_account_job(account="kiosk", beyond_rate=True),
            write_line(2, above, account="kiosk"),
            write_line(3, above, account="other"),
            write_line(4, "An account is no longer above its fair share.", account="x"),
            write_line(
                5, "An account is no longer above its fair share.", account="kiosk"
            ),
            write_line(6, above, account="kiosk"),
            # A successor doesn't report the end of what its predecessor has reported.
            write_line(7, "Loaded."),
        )
        self.assertEqual(split["fair share, or room beside it"], 4)
        self.assertEqual(split["declared rate, or room beside it"], 4)

    def test_what_late_jobs_waited_for_is_printed_by_account(self):
        lines = self.write_account_job(account="kiosk", beyond_rate=True)
        result = CliRunner().invoke(app, ["losses"], input="\n".join(lines))
        output = result.output
        self.assertIn("account kiosk: 1 jobs, 1 late, 1 beyond the declared", output)
        account = output.index("account kiosk")
        self.assertIn("8.0 s  declared rate, or room beside it", output[account:])

    def test_late_jobs_are_counted_by_account(self):
        lines = write_job("j1", 1, 9, 9, (5, 7, "w1", "completed"))
        lines[0] = write_line(1, "Taken.", id="j1", queue="quick", account="kiosk")
        result = CliRunner().invoke(app, ["losses"], input="\n".join(lines))
        self.assertIn("account kiosk: 1 jobs, 1 late", result.output)

    def test_time_on_a_silent_worker_is_counted_while_it_is_silent(self):
        split = self.split(
            *write_job(
                "j1", 1, 9, 9, (1, 3, "w1", "completed"), (1, 9, "w2", "lapsed")
            ),
            write_line(3, "A worker does not answer.", worker="w2"),
            write_line(9, "A worker answers.", worker="w2"),
        )
        detection_delay = losses.SILENCE_DETECTION_SECONDS
        self.assertAlmostEqual(
            split["lease of a silent worker"], 6 + detection_delay, 3
        )

    def test_a_run_that_is_lost_with_its_worker_has_ended(self):
        run = {"id": "j1", "attempt": 7}
        split = self.split(
            *write_job("j1", 1, 9, 9, (6, 9, "w1", "completed")),
            write_line(1, "Ordered.", step=0, tasks=[7], workers=["w2"], **run),
            write_line(2, "A worker does not answer.", worker="w2"),
            write_line(5, "A run is lost with its worker.", task=[0, 0, 7], **run),
        )
        detection_delay = losses.SILENCE_DETECTION_SECONDS
        self.assertAlmostEqual(
            split["lease of a silent worker"], 3 + detection_delay, 3
        )
        self.assertAlmostEqual(
            split["run lost with its worker"], 1 - detection_delay, 3
        )
        self.assertEqual(split["work"], 3)

    def test_time_without_an_owner_is_counted_as_a_takeover(self):
        split = self.split(
            write_line(1, "Loaded.", epoch=1),
            *write_job("j1", 2, 8, 8, (6, 8, "w1", "completed")),
            write_line(5, "Loaded.", epoch=2),
        )
        self.assertEqual(split["takeover"], 3)

    def test_time_of_failed_runs_is_counted(self):
        split = self.split(
            *write_job("j1", 1, 5, 5, (1, 3, "w1", "failed"), (3, 5, "w2", "completed"))
        )
        self.assertEqual(split["run that failed"], 2)

    def test_only_late_jobs_are_summed(self):
        lines = [
            *write_job("j1", 1, 3, 3, (1, 3, "w1", "completed")),
            *write_job("j2", 1, 9, 9, (7, 9, "w1", "completed")),
        ]
        result = CliRunner().invoke(app, ["losses"], input="\n".join(lines))
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertIn("quick: 2 jobs, 1 late", result.output)
        self.assertIn("room, advice or order", result.output)
        self.assertIn("j2", result.output)
        self.assertNotIn("j1", result.output)

    def test_logs_without_jobs_are_an_error(self):
        result = CliRunner().invoke(app, ["losses"], input="nothing")
        self.assertNotEqual(result.exit_code, 0)
