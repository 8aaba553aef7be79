/** Implements `micaworks snapshot`, which writes a node's state to a file, verifies snapshot files and shows them. */
import { createReadStream, createWriteStream, existsSync } from 'node:fs';
import { rename, rm, stat } from 'node:fs/promises';
import type { Readable } from 'node:stream';
import { pipeline } from 'node:stream/promises';
import { createGzip } from 'node:zlib';
import { openSnapshot } from '#operations';
import { readSnapshot, type SnapshotSummary } from '#recovery';
import { validateAddress } from './address.js';
import { CommandFailure, messageOf, UsageError } from './errors.js';
import { formatTable, type Print, printJson } from './output.js';
import { encodeSnapshotOutput, snapshotRows } from './snapshot-output.js';

/** Options of `micaworks snapshot FILE`. */
export interface SnapshotOptions {
  /** Address of the node's operators' listener, as given on the command line. */
  readonly node: string;
  /** True if an existing file may be replaced. */
  readonly force: boolean;
}

/**
 * Writes a snapshot of a node to a file. The snapshot is downloaded to `FILE.partial`, verified and then renamed, so
 * that a failed download never replaces an existing snapshot.
 */
export async function takeSnapshot(
  file: string,
  { node, force }: SnapshotOptions,
  print: Print,
): Promise<void> {
  const address = validateAddress(node);
  if (existsSync(file) && !force)
    throw new UsageError(`${file}: the file already exists; pass --force to replace it`);
  const partialFile = `${file}.partial`;
  try {
    await download(address, partialFile);
    const summary = await readVerified(partialFile);
    await rename(partialFile, file);
    print(`${file}: epoch ${summary.header.epoch}, ${summary.jobs} jobs, ${summary.tasks} tasks on machines`);
    if (!summary.hasAllTerminalStatuses) print(`${file}: the state service did not give all final answers`);
  } finally {
    await rm(partialFile, { force: true });
  }
}

/**
 * Verifies a snapshot file and prints one line. Throws {@link CommandFailure} with the fault if the file is not
 * valid.
 */
export async function verifySnapshot(file: string, print: Print): Promise<void> {
  const { lines, header } = await readVerified(file);
  print(`${file}: whole; version ${header.version}, ${lines} lines`);
}

/** Prints a summary of a snapshot. Throws {@link CommandFailure} with the fault if the file is not valid. */
export async function showSnapshot(file: string, { json }: { json: boolean }, print: Print): Promise<void> {
  const summary = await readVerified(file);
  const { size } = await stat(file);
  const output = encodeSnapshotOutput(summary, size);
  if (json) printJson(print, output);
  else for (const line of formatTable(snapshotRows(output))) print(line);
}

/** Downloads a node's snapshot into a compressed file. Throws {@link CommandFailure} if the transfer fails. */
async function download(address: string, file: string): Promise<void> {
  const lines = await openSnapshot(address).catch((cause: unknown) => {
    throw new CommandFailure(`${address}: ${messageOf(cause)}`, { cause });
  });
  await writeCompressed(lines, file);
}

async function writeCompressed(lines: Readable, file: string): Promise<void> {
  try {
    await pipeline(lines, createGzip(), createWriteStream(file, { flush: true }));
  } catch (cause) {
    throw new CommandFailure(`${file}: writing the snapshot failed: ${messageOf(cause)}`, { cause });
  }
}

/**
 * Returns the summary of a snapshot file. Throws {@link UsageError} if the file does not exist and
 * {@link CommandFailure} if it is not a valid snapshot.
 */
async function readVerified(file: string): Promise<SnapshotSummary> {
  if (!existsSync(file)) throw new UsageError(`${file}: no such file`);
  try {
    return await readSnapshot(createReadStream(file));
  } catch (cause) {
    throw new CommandFailure(`${file}: ${messageOf(cause)}`, { cause });
  }
}
