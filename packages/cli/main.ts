#!/usr/bin/env node
/** Entry point of the `micaworks` executable. */
import { execute } from './program.js';

const exitCode = await execute(
  process.argv.slice(2),
  (line) => process.stdout.write(`${line}\n`),
  (line) => process.stderr.write(`${line}\n`),
);
// On success the process is not ended explicitly: after `run`, its servers keep the process alive.
if (exitCode !== 0) process.exit(exitCode);
