/** The list of tests that are known to fail, and the evaluation of a run of the suite against it. */

/** An entry of `KNOWN-RED.txt`: a test that fails because of a real fault that is not fixed yet. */
export interface KnownRed {
  /** Name of the test. */
  test: string;
  cause: string;
  /** The issue that tracks the fault. */
  issue: string;
}

/** Result of one test. */
export interface TestResult {
  name: string;
  passed: boolean;
}

/** Evaluation of a run. */
export interface RunEvaluation {
  /** True if the run passes. */
  passed: boolean;
  /** One line for each entry of the list, and one for each failure that is not listed. */
  lines: string[];
}

const MAX_ENTRIES = 3;

/**
 * Parses `KNOWN-RED.txt`. Each line contains the name of a test, the cause and the issue, separated by ` | `; empty
 * lines are ignored. Throws an Error if a line has another form, or if there are more than three lines.
 */
export function parseKnownRed(text: string): KnownRed[] {
  const rows = text.split('\n').filter((line) => line.trim() !== '');
  if (rows.length > MAX_ENTRIES)
    throw new Error(`KNOWN-RED.txt: ${rows.length} lines, ${MAX_ENTRIES} at most`);
  return rows.map((row, i) => {
    const [test, cause, issue, ...rest] = row.split(' | ').map((part) => part.trim());
    if (!test || !cause || !issue || rest.length > 0) {
      throw new Error(`KNOWN-RED.txt: line ${i + 1} is "${row}", not "test | cause | issue"`);
    }
    return { test, cause, issue };
  });
}

/** Evaluates a run. It passes if at least one test ran, all failed tests are listed, and all listed tests ran. */
export function evaluateRun(
  knownFailures: readonly KnownRed[],
  results: readonly TestResult[],
): RunEvaluation {
  const lines: string[] = [];
  let passed = results.length > 0;
  if (!passed) lines.push('no test was run');
  for (const { test, cause, issue } of knownFailures) {
    const matching = results.filter((r) => r.name === test);
    if (matching.length === 0) passed = false;
    const state =
      matching.length === 0 ? 'names no test' : matching.some((r) => !r.passed) ? 'failed' : 'passed';
    lines.push(`known red, ${state}: ${test} (${cause}; ${issue})`);
  }
  const listedTests = new Set(knownFailures.map((k) => k.test));
  for (const { name } of results.filter((r) => !r.passed && !listedTests.has(r.name))) {
    passed = false;
    lines.push(`failed, and not listed: ${name}`);
  }
  return { passed, lines };
}
