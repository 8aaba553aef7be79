/** The list of tests that are known to fail, and the verdict on a run of the suite. */

/** A test that fails for a real fault which is still to be mended, as `KNOWN-RED.txt` lists it. */
export interface KnownRed {
  test: string;
  cause: string;
  issue: string;
}

/** Outcome of one test. */
export interface TestResult {
  name: string;
  passed: boolean;
}

/** Whether a run passes, given the list. */
export interface Verdict {
  passed: boolean;
  /** What there is to say of the list, a line each. */
  lines: string[];
}

const MAX_ENTRIES = 3;

/** One test a line: its name, the cause and the issue, with ` | ` between them. Throws on anything else. */
export function parseKnownRed(text: string): KnownRed[] {
  const rows = text.split('\n').filter((line) => line.trim() !== '');
  if (rows.length > MAX_ENTRIES)
    throw new Error(`KNOWN-RED.txt: ${rows.length} lines, ${MAX_ENTRIES} at most`);
  return rows.map((row, i) => {
    const [test, cause, issue, ...rest] = row.split(' | ').map((part) => part.trim());
    if (!test || !cause || !issue || rest.length > 0) {
      throw new Error(`KNOWN-RED.txt: line ${i + 1} is not: test | cause | issue`);
    }
    return { test, cause, issue };
  });
}

/** Passed if nothing failed but what is listed, and each line names a test that was run. */
export function evaluateRun(knownFailures: readonly KnownRed[], results: readonly TestResult[]): Verdict {
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
