/** `micaworks snapshot`: writes a node's state to a file, verifies such files and shows what they hold. */
import { createReadStream, createWriteStream, existsSync } from 'node:fs';
import { rename, rm, stat } from 'node:fs/promises';
import type { Readable } from 'node:stream';
import { pipeline } from 'node:stream/promises';
import { createGzip } from 'node:zlib';
import { openSnapshot } from '#operations';
import { readSnapshot, type SnapshotSummary } from '#recovery';
import { checkAddress } from './address.js';
import { CommandFailure, messageOf, UsageError } from './errors.js';
import { formatTable, type Print, printJson } from './output.js';
import { encodeSnapshotOutput, snapshotRows } from './snapshot-output.js';

/** Options of `micaworks snapshot FILE`. */
export interface SnapshotOptions {
  /** Address of the operators' listener of the node, as given. */
  readonly node: string;
  /** Replaces an existing file. */
  readonly force: boolean;
}

/** Writes the snapshot to a file beside the named one, and replaces that only once the snapshot is verified. */
export async function takeSnapshot(
  file: string,
  { node, force }: SnapshotOptions,
  print: Print,
): Promise<void> {
  const address = checkAddress(node);
  if (existsSync(file) && !force) throw new UsageError(`${file}: there is such a file; --force replaces it`);
  const partial = `${file}.partial`;
  try {
    await download(address, partial);
    const summary = await verify(partial);
    await rename(partial, file);
    print(`${file}: epoch ${summary.header.epoch}, ${summary.jobs} jobs, ${summary.tasks} tasks on machines`);
    if (!summary.hasAllTerminalStatuses) print(`${file}: the state service did not give all final answers`);
  } finally {
    await rm(partial, { force: true });
  }
}

/** Prints a line if the file is a complete snapshot; fails with its fault if it is not. */
export async function verifySnapshot(file: string, print: Print): Promise<void> {
  const { lines, header } = await verify(file);
  print(`${file}: whole; version ${header.version}, ${lines} lines`);
}

/** Prints what a complete snapshot holds; fails with its fault if it is not complete. */
export async function showSnapshot(file: string, { json }: { json: boolean }, print: Print): Promise<void> {
  const summary = await verify(file);
  const { size } = await stat(file);
  const output = encodeSnapshotOutput(summary, size);
  if (json) printJson(print, output);
  else for (const line of formatTable(snapshotRows(output))) print(line);
}

/** Writes the lines that a node sends into a compressed file. */
async function download(address: string, file: string): Promise<void> {
  const lines = await openSnapshot(address).catch((cause: unknown) => {
    throw new CommandFailure(`${address}: ${messageOf(cause)}`, { cause });
  });
  await store(lines, file);
}

async function store(lines: Readable, file: string): Promise<void> {
  try {
    await pipeline(lines, createGzip(), createWriteStream(file, { flush: true }));
  } catch (cause) {
    throw new CommandFailure(`the snapshot was cut off: ${messageOf(cause)}`, { cause });
  }
}

async function verify(file: string): Promise<SnapshotSummary> {
  if (!existsSync(file)) throw new UsageError(`${file}: there is no such file`);
  try {
    return await readSnapshot(createReadStream(file));
  } catch (cause) {
    throw new CommandFailure(`${file}: ${messageOf(cause)}`, { cause });
  }
}
