#!/usr/bin/env node
/** The command line as a process. */
import { execute } from './program.js';

const exitCode = await execute(
  process.argv.slice(2),
  (line) => process.stdout.write(`${line}\n`),
  (line) => process.stderr.write(`${line}\n`),
);
// `run` leaves its servers open and goes on; everything else has nothing left to do.
if (exitCode !== 0) process.exit(exitCode);
