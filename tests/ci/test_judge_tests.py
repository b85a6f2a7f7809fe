"""Tests which failures .ci/judge_tests passes over.

Guards against known failures that hide others: a listed check must not excuse
another check of its program, nor a crash, a time-out, a sanitizer's report or
a process that does not exit.
"""

import json
import os
import subprocess
import sys
import tempfile
import unittest

JUDGE = os.path.join(os.path.dirname(os.path.abspath(__file__)), '..', '..',
                     '.ci', 'judge_tests')

KNOWN_RED = '''test: e2e_path
  command: build-test/tests/e2e/test_e2e_path
  seen: 30 of 382 calls not correct; check: e2e_path is no entry here.

check: e2e_shed test_critical_calls
  command: build-test/tests/e2e/test_e2e_shed
  seen: 21 critical calls refused.

check: e2e_shed test_recovery

case: e2e_platform (CI counts it)
  check: e2e_platform test_indented
'''

CRITICAL = '../tests/e2e/test_shed.c:88:F:critical:test_critical_calls:%d: ' \
    'Assertion \'refused == 0\' failed: refused == 21, 0 == 0\n'
RECOVERY = '../tests/e2e/test_shed.c:99:E:recovery:test_recovery:0: ' \
    '(after this point) Received signal 11 (Segmentation fault)\n'
OTHER = '../tests/e2e/test_shed.c:44:F:other:test_other:0: "a: b" failed\n'


def totals(failures, errors=0):
    return '50%%: Checks: 4, Failures: %d, Errors: %d\n' % (failures, errors)


LEAK = '''==7==ERROR: LeakSanitizer: detected memory leaks
SUMMARY: AddressSanitizer: 46 byte(s) leaked in 2 allocation(s).
'''
ONE_LISTED = totals(1) + CRITICAL % 0

# Name of the case, program, result, exit status, standard output, standard
# error, expected line.
CASES = [
    ('passed', 'e2e_shed', 'OK', 0, '', '', 'passed e2e_shed'),
    ('listed check', 'e2e_shed', 'FAIL', 1, 'Running suite(s): shed\n' +
     ONE_LISTED, '', 'known e2e_shed: check test_critical_calls'),
    ('two listed checks, one of them in two cases', 'e2e_shed', 'FAIL', 1,
     totals(2, 1) + CRITICAL % 0 + CRITICAL % 1 + RECOVERY, '',
     'known e2e_shed: check test_critical_calls, test_recovery'),
    ('unlisted check', 'e2e_shed', 'FAIL', 1, totals(1) + OTHER, '',
     'FAILED e2e_shed: check test_other'),
    ('listed and unlisted check', 'e2e_shed', 'FAIL', 1,
     totals(2) + CRITICAL % 0 + OTHER, '', 'FAILED e2e_shed: check test_other'),
    ('check that is listed for another program', 'e2e_once', 'FAIL', 1,
     ONE_LISTED, '', 'FAILED e2e_once: check test_critical_calls'),
    ('failure that is counted but not printed', 'e2e_shed', 'FAIL', 1,
     totals(2) + CRITICAL % 0, '',
     'FAILED e2e_shed: failed checks do not match the totals'),
    ('crash before the totals', 'e2e_shed', 'FAIL', 1, CRITICAL % 0, '',
     'FAILED e2e_shed: failed checks do not match the totals'),
    ('all checks passed', 'e2e_shed', 'FAIL', 1,
     '100%: Checks: 4, Failures: 0, Errors: 0\n', '',
     'FAILED e2e_shed: no failed check'),
    ('process that does not exit, after all checks passed', 'e2e_shed', 'FAIL',
     3, '100%: Checks: 4, Failures: 0, Errors: 0\n',
     'fixture: a node did not exit with status 0; see its log\n',
     'FAILED e2e_shed: exit status 3'),
    ('process that does not exit, after a listed check', 'e2e_shed', 'FAIL', 3,
     ONE_LISTED, 'fixture: a node did not exit with status 0; see its log\n',
     'FAILED e2e_shed: exit status 3'),
    ('signal after a listed check', 'e2e_shed', 'FAIL', -11, ONE_LISTED, '',
     'FAILED e2e_shed: exit status -11'),
    ('time-out after a listed check', 'e2e_shed', 'TIMEOUT', -15, ONE_LISTED,
     '', 'FAILED e2e_shed: timeout'),
    ('address sanitizer, after a listed check', 'e2e_shed', 'FAIL', 1,
     ONE_LISTED, '==7==ERROR: AddressSanitizer: heap-use-after-free\n',
     'FAILED e2e_shed: sanitizer report'),
    ('leak of a listed check that failed', 'e2e_shed', 'FAIL', 1, ONE_LISTED,
     LEAK, 'known e2e_shed: check test_critical_calls'),
    ('leak and address sanitizer, after a listed check', 'e2e_shed', 'FAIL', 1,
     ONE_LISTED, '==7==ERROR: AddressSanitizer: SEGV\n' + LEAK,
     'FAILED e2e_shed: sanitizer report'),
    ('leak although all checks passed', 'e2e_shed', 'FAIL', 1,
     '100%: Checks: 4, Failures: 0, Errors: 0\n', LEAK,
     'FAILED e2e_shed: no failed check'),
    ('thread sanitizer, after a listed check', 'e2e_shed', 'FAIL', 1,
     ONE_LISTED, 'WARNING: ThreadSanitizer: data race (pid=7)\n',
     'FAILED e2e_shed: sanitizer report'),
    ('undefined behaviour, after a listed check', 'e2e_shed', 'FAIL', 1,
     ONE_LISTED, '../core/a.c:3:5: runtime error: signed integer overflow\n',
     'FAILED e2e_shed: sanitizer report'),
    ('listed program', 'e2e_path', 'FAIL', 1, totals(1) + OTHER, '',
     'known e2e_path: any failure'),
    ('listed program that crashes', 'e2e_path', 'FAIL', -6, '', '',
     'known e2e_path: any failure'),
    ('listed program that times out', 'e2e_path', 'TIMEOUT', -15, '', '',
     'known e2e_path: any failure'),
    ('other kind of entry', 'e2e_platform', 'FAIL', 1,
     totals(1) + OTHER.replace('test_other', 'test_indented'), '',
     'FAILED e2e_platform: check test_indented'),
    ('program that is not listed', 'e2e_quota', 'FAIL', 1, totals(1) + OTHER,
     '', 'FAILED e2e_quota: check test_other'),
]


def write_file(directory, name, text):
    path = os.path.join(directory, name)
    with open(path, 'w', encoding='utf-8') as file:
        file.write(text)
    return path


def run_judge(log, known_red):
    with tempfile.TemporaryDirectory() as directory:
        arguments = [
            sys.executable, JUDGE,
            write_file(directory, 'testlog.json', log),
            write_file(directory, 'KNOWN-RED.txt', known_red)
        ]
        return subprocess.run(arguments, stdout=subprocess.PIPE,
                              stderr=subprocess.PIPE, check=False, text=True)


def log_line(case):
    _, program, result, status, stdout, stderr, _ = case
    return json.dumps({
        'name': 'berylvane:e2e+thread / ' + program,
        'result': result,
        'returncode': status,
        'stdout': stdout,
        'stderr': stderr
    }) + '\n'


class JudgeTests(unittest.TestCase):

    def test_verdicts(self):
        for case in CASES:
            with self.subTest(case[0]):
                run = run_judge(log_line(case), KNOWN_RED)
                self.assertEqual(run.stderr, '')
                self.assertEqual(run.stdout, case[-1] + '\n')

    def test_all_tests_of_a_log(self):
        """Each test of a log gets its own verdict, in the log's order."""
        run = run_judge(''.join(map(log_line, CASES)), KNOWN_RED)
        self.assertEqual(run.stdout.splitlines(), [case[-1] for case in CASES])

    def test_output_that_is_missing(self):
        """Meson leaves out streams to which a program wrote nothing."""
        line = json.dumps({'name': 'a', 'result': 'FAIL', 'returncode': 1})
        run = run_judge(line, KNOWN_RED)
        self.assertEqual(run.stdout, 'FAILED a: no failed check\n')

    def test_log_that_cannot_be_read(self):
        """CI counts a failure if no verdict can be given."""
        run = run_judge('{"name": "a", ', KNOWN_RED)
        self.assertNotEqual(run.returncode, 0)


if __name__ == '__main__':
    unittest.main()
