/** Runs all tests of the compiled tree that contains it. Only the tests that `KNOWN-RED.txt` lists may fail. */
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { availableParallelism } from 'node:os';
import { run } from 'node:test';
import { tap } from 'node:test/reporters';
import { fileURLToPath } from 'node:url';
import { evaluateRun, parseKnownRed, type TestResult } from './known-red.js';

const targetFolder = fileURLToPath(new URL('..', import.meta.url));
const listPath = fileURLToPath(new URL('../../KNOWN-RED.txt', import.meta.url));

const knownFailures = parseKnownRed(existsSync(listPath) ? readFileSync(listPath, 'utf8') : '');
const files = readdirSync(targetFolder, { recursive: true, encoding: 'utf8' })
  .filter((name) => name.endsWith('.test.js'))
  .map((name) => targetFolder + name);
const results: TestResult[] = [];
const stream = run({ files, concurrency: availableParallelism() });
stream.on('test:pass', ({ name }) => results.push({ name, passed: true }));
stream.on('test:fail', ({ name }) => results.push({ name, passed: false }));
const report = stream.compose(tap);
report.pipe(process.stdout);
report.on('end', () => {
  const { passed, lines } = evaluateRun(knownFailures, results);
  for (const line of lines) process.stdout.write(`# ${line}\n`);
  process.exitCode = passed ? 0 : 1;
});
