/** Runs all tests of the tree that it was compiled into, and lets those fail that `KNOWN-RED.txt` lists. */
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { availableParallelism } from 'node:os';
import { run } from 'node:test';
import { tap } from 'node:test/reporters';
import { fileURLToPath } from 'node:url';
import { judge, parseKnownRed, type TestResult } from './known-red.js';

const target = fileURLToPath(new URL('..', import.meta.url));
const list = fileURLToPath(new URL('../../KNOWN-RED.txt', import.meta.url));

const known = parseKnownRed(existsSync(list) ? readFileSync(list, 'utf8') : '');
const files = readdirSync(target, { recursive: true, encoding: 'utf8' })
  .filter((name) => name.endsWith('.test.js'))
  .map((name) => target + name);
const results: TestResult[] = [];
const stream = run({ files, concurrency: availableParallelism() });
stream.on('test:pass', ({ name }) => results.push({ name, passed: true }));
stream.on('test:fail', ({ name }) => results.push({ name, passed: false }));
const report = stream.compose(tap);
report.pipe(process.stdout);
report.on('end', () => {
  const { passed, lines } = judge(known, results);
  for (const line of lines) process.stdout.write(`# ${line}\n`);
  process.exitCode = passed ? 0 : 1;
});
